/// The callers of a soak: long flows with many requests, and flows of one request.
#pragma once

#include <functional>
#include <map>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/steady_timer.hpp>

#include "oriolelever/packet-port.h"
#include "oriolelever/segment.h"
#include "soak-ledger.h"
#include "soak-router.h"

namespace oriolelever::lab {

/// Callers of one zone.
struct CallerSite
{
    std::string zone;
    IpAddress address;
};

struct CallerOptions
{
    std::vector<CallerSite> sites;
    std::vector<Endpoint> services; ///< Virtual addresses.
    /// Where resets of balancers and packets of agents arrive.
    std::uint16_t balancerPort = 0;
    std::uint16_t agentPort = 0;
    std::size_t longFlows = 20; ///< Kept open at any time.
    double shortFlowsPerSecond = 10;
    std::chrono::milliseconds deadline{3000}; ///< Of a request.
};

/// What callers got.
struct CallerFigures
{
    std::uint64_t flowsOpened = 0;
    std::uint64_t openingsRefused = 0;
    std::uint64_t openingsIgnored = 0;
    std::uint64_t flowsReset = 0;
    std::uint64_t requestsSent = 0;
    std::uint64_t requestsAnswered = 0;
    std::uint64_t requestsUnanswered = 0;
};

class SoakCallers
{
public:
    /// What the callers need of the rest of the soak.
    struct Links
    {
        /// Name of the process at an address, empty if there is none.
        std::function<std::string(const IpAddress &)> nameOf;
        /// Delay of a datagram from a process to a caller; absent if it is lost.
        std::function<std::optional<std::chrono::milliseconds>(const std::string &)> passage;
    };

    SoakCallers(asio::io_context &context, SoakLedger &ledger, const SoakRouter &router,
                CallerOptions options, Links links, std::uint64_t seed);

    /// Fails with `Code::AddressInUse` or `Code::SocketFailed`.
    Result<void> open();
    void start();
    /// Opens no more flows.
    void stop();

    const CallerFigures &figures() const
    {
        return m_figures;
    }

private:
    struct Flow
    {
        std::size_t site = 0;
        bool isLong = false;
        bool isOpen = false;
        std::uint32_t sequence = 0; ///< Of the next byte to send.
        std::uint32_t acknowledgement = 0;
        TimePoint began{}; ///< First opening packet.
        TimePoint closesAt{};
        TimePoint nextRequest{};
        int copies = 0; ///< Of the opening packet.
        std::uint32_t number = 0; ///< Of the request under way; 0 if there is none.
        TimePoint requested{};
        TimePoint nextCopy{};
        std::chrono::milliseconds copyPause{0};
    };

    struct Site
    {
        std::unique_ptr<PacketPort> fromBalancers;
        std::unique_ptr<PacketPort> fromAgents;
    };

    void tick();
    void scheduleTick();
    void begin(bool isLong, TimePoint now);
    /// False if the flow is to be forgotten.
    bool advance(const FlowKey &key, Flow &flow, TimePoint now);
    void sendRequest(const FlowKey &key, Flow &flow);
    void send(const FlowKey &key, const Flow &flow, const Segment &header,
              std::span<const std::uint8_t> payload = {});
    void onDatagram(std::span<std::uint8_t> bytes, const IpAddress &from);
    void take(std::span<const std::uint8_t> bytes, const std::string &sender);
    void takeAnswer(const FlowKey &key, Flow &flow, const Segment &segment,
                    std::span<const std::uint8_t> bytes);
    void close(const FlowKey &key, const Flow &flow);
    std::chrono::milliseconds between(std::int64_t least, std::int64_t most);

    asio::io_context &m_context;
    SoakLedger &m_ledger;
    const SoakRouter &m_router;
    CallerOptions m_options;
    Links m_links;
    std::mt19937_64 m_random;
    asio::steady_timer m_timer;
    std::vector<Site> m_sites;
    std::unordered_map<FlowKey, Flow> m_flows;
    std::size_t m_longFlows = 0;
    double m_shortDebt = 0; ///< Short flows that are due.
    TimePoint m_lastTick{};
    std::uint16_t m_nextPort = 1024;
    std::uint32_t m_nextNumber = 1;
    bool m_stopped = false;
    CallerFigures m_figures;
};

} // namespace oriolelever::lab
