/// The agent of a platform whose backend servers judge their own flows: sockets and timers around
/// `server-gate.h`.
#pragma once

#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include "oriolelever/event-log.h"
#include "oriolelever/kernel.h"
#include "oriolelever/metrics.h"
#include "oriolelever/packet-port.h"
#include "oriolelever/server-gate.h"

namespace oriolelever {

struct GateNodeOptions
{
    Endpoint relay; ///< Where balancers send packets.
    Endpoint outbound; ///< Where the backend server sends its packets.
    Endpoint server; ///< Where the backend server takes packets.
    std::uint16_t balancerPort = 0; ///< Where balancers take reports and returned packets.
    std::uint16_t callerPort = 0; ///< Where callers take packets.
    std::uint64_t lifetime = 0;
    PacketFormat format;
    GateOptions gate;
    std::chrono::milliseconds tick{100};
    std::chrono::milliseconds reportPeriod{200};
    std::chrono::milliseconds balancerLimit{10'000}; ///< A balancer that asks no more gets no more reports.
    std::chrono::milliseconds probeLimit{250}; ///< For a connection to a server that does not answer.
    std::chrono::milliseconds probePause{1000}; ///< Between two such connections.
};

/// Lets packets through to the backend server and back. All calls on the control thread.
class GateNode : public Service
{
public:
    GateNode(asio::io_context &context, GateNodeOptions options, EventLog &log, Metrics &metrics);
    ~GateNode() override;

    Result<void> start(Kernel &kernel) override;
    void beginDrain() override;
    void stop() override;

    /// Starts without a kernel.
    Result<void> open();

    HeartbeatOutcome onHeartbeat(const ServerHeartbeat &heartbeat);
    /// False if the call is of another server than the present one.
    bool onDeparture(const std::string &id);
    /// Reports to balancers that may not know of this agent.
    void introduce(const std::vector<IpAddress> &balancers);

    /// Called when a balancer says that the agent's entry is missing.
    std::function<void()> unlisted;

    const GateState &state() const
    {
        return m_state;
    }

private:
    struct Counters;
    class Probe;

    void onRelayed(std::span<std::uint8_t> bytes, const Endpoint &from);
    void onHello(std::span<std::uint8_t> bytes, const Endpoint &from);
    void onServerPacket(std::span<std::uint8_t> bytes);
    void onNote(std::span<std::uint8_t> bytes);
    void onFind(std::span<std::uint8_t> packet, const Segment &segment, const IpAddress &balancer);
    /// Sends the packet back by the port that it came in by, whose batch holds its bytes.
    void giveBack(PacketPort &port, std::span<std::uint8_t> bytes, const IpAddress &balancer,
                  ReturnReason reason, std::uint32_t number = 0);
    /// Tells the callers of all flows that their server has ended.
    void resetCallers(std::string_view cause);
    void reportAll();
    void tick();
    void scheduleTick();
    void probe(TimePoint now);
    void onProbed(const asio::error_code &error);

    struct Balancer
    {
        std::uint64_t lifetime = 0;
        TimePoint heard{};
    };

    asio::io_context &m_context;
    GateNodeOptions m_options;
    GateState m_state;
    EventLog &m_log;
    PacketPort m_relay;
    PacketPort m_outbound;
    asio::steady_timer m_timer;
    std::unique_ptr<Counters> m_counters;
    std::unique_ptr<Probe> m_probe;
    std::unordered_map<IpAddress, Balancer, AddressHash> m_balancers;
    TimePoint m_now{}; ///< Read once per datagram batch.
    TimePoint m_lastReport{};
    TimePoint m_lastProbe{};
    std::uint64_t m_lostDatagrams = 0; ///< As logged.
    TimePoint m_lastExpiry{};
};

} // namespace oriolelever
