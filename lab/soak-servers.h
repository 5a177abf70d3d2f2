/// The backend servers of a soak: each judges its own flows and tells its agent how it is.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/http-client.h"
#include "oriolelever/packet-port.h"
#include "oriolelever/segment.h"
#include "soak-ledger.h"

namespace oriolelever::lab {

/// Where the server of one agent is reached.
struct ServerHost
{
    std::string node; ///< The agent.
    std::string zone;
    Endpoint server; ///< Packets by UDP, connections by TCP.
    Endpoint outbound; ///< Where the agent takes the server's packets.
    Endpoint heartbeats; ///< Where the agent takes heartbeats.
};

/// Lies of the servers, to show that the ledger finds them.
struct ServerPlants
{
    bool runTwice = false; ///< A repeated request runs again.
    bool hideDeparture = false; ///< A server that says it leaves tells its agent otherwise.
    bool hideCold = false; ///< A cold server says that it is warm.
};

/// How the soak's servers behave.
struct ServerTimes
{
    std::chrono::milliseconds heartbeat{1200};
    std::chrono::milliseconds cold{6000};
    std::chrono::milliseconds afterDrain{5000}; ///< From the ack of its departure until a server ends.
    double coldPerSecond = 4;
    std::uint16_t slots = 2;
    std::chrono::milliseconds work{5}; ///< Shortest time of a request; the longest is four times as long.
};

/// One backend server.
class SoakServer
{
public:
    SoakServer(asio::io_context &context, SoakLedger &ledger, const ServerHost &host,
               const ServerTimes &times, const ServerPlants &plants, std::uint64_t seed);
    ~SoakServer();

    /// Starts the server anew. `clockOffset` is added to the time of day at which it says it was born.
    void start(const std::string &service, bool cold, std::chrono::milliseconds clockOffset, bool keepsId);
    /// Ends it without a word.
    void crash();
    /// Says that it leaves, goes on for a while, leaves; calls `left` then.
    void drain(std::function<void()> left);

    bool isRunning() const
    {
        return m_running;
    }

    bool isDraining() const
    {
        return m_draining;
    }

    const std::string &service() const
    {
        return m_service;
    }

    /// Name of the balancer whose address marks a packet, as the network knows it.
    std::function<std::string(const IpAddress &)> nameOf;

private:
    struct Flow
    {
        std::uint32_t initialSequence = 0;
        std::uint32_t nextFromCaller = 0;
        std::uint32_t nextToCaller = 0;
        bool open = false;
        bool working = false;
        std::vector<std::uint8_t> lastAnswer; ///< A whole packet; empty before the first.
    };

    /// Name of the present start, also where the server keeps an earlier id.
    std::string startId() const;
    void onPacket(std::span<std::uint8_t> bytes);
    void open(const FlowKey &key, const Segment &segment, const std::string &balancer);
    void work(const FlowKey &key, Flow &flow, const Segment &segment, std::span<const std::uint8_t> bytes);
    void answer(const FlowKey &key, std::uint32_t number);
    void giveBack(std::span<std::uint8_t> bytes);
    void reply(const std::vector<std::uint8_t> &packet);
    void beat();
    void scheduleBeat();
    void listen();
    void accept();
    void leave(const std::function<void()> &left);

    asio::io_context &m_context;
    SoakLedger &m_ledger;
    ServerHost m_host;
    ServerTimes m_times;
    ServerPlants m_plants;
    std::mt19937_64 m_random;
    PacketPort m_port;
    HttpClient m_agent;
    std::unique_ptr<asio::ip::tcp::acceptor> m_acceptor;
    asio::steady_timer m_beatTimer;
    asio::steady_timer m_leaveTimer;
    std::function<void()> m_left;
    std::unordered_map<FlowKey, Flow> m_flows;
    std::string m_id;
    std::string m_service;
    std::uint64_t m_starts = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_bornAt = 0;
    TimePoint m_coldUntil{};
    bool m_running = false;
    bool m_draining = false;
    bool m_leaving = false; ///< The departure was acknowledged.
};

} // namespace oriolelever::lab
