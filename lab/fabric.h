/// A fabric with callers behind it: opens flows, sprays their packets over the balancers and judges the
/// answers.
#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "oriolelever/packet.h"
#include "oriolelever/sockets.h"

namespace oriolelever::lab {

struct FabricService
{
    std::string name;
    Endpoint address; ///< Virtual address and port.
    Protocol protocol = Protocol::Tcp;
};

struct FabricBalancer
{
    std::string name;
    Endpoint data;
    Endpoint admin; ///< Its /health is asked every `healthInterval`; port 0 counts as healthy.
};

struct FabricOptions
{
    Endpoint listen; ///< Where agents return answers; port 0 takes a free one.
    std::vector<FabricService> services;
    std::vector<FabricBalancer> balancers;
    std::uint64_t seed = 1;
    double flowsPerSecond = 50; ///< New flows of all services together.
    std::size_t maxFlows = 1000; ///< Open at once.
    std::chrono::milliseconds packetGap{100}; ///< Between two packets of a flow.
    std::chrono::milliseconds flowTime{
        3000}; ///< Mean life of a flow; each takes from half of it to one and a half.
    double longFlowShare = 0.3; ///< Share of flows that last until `finish`.
    std::size_t payloadSize = 64; ///< Bytes of a packet.
    std::chrono::milliseconds retryTime{
        200}; ///< An unanswered packet is sent again; doubles up to `retryMax`.
    std::chrono::milliseconds retryMax{1000};
    std::chrono::milliseconds patience{10000}; ///< A flow without an answer for so long is broken.
    std::chrono::milliseconds healthInterval{100};
};

struct FabricFigures
{
    std::uint64_t flowsOpened = 0; ///< Answered by a backend server.
    std::uint64_t flowsEnded = 0; ///< By FIN, or for datagrams at the end of their time.
    std::uint64_t flowsRefused = 0; ///< Reset before they were opened.
    std::uint64_t flowsUnanswered = 0; ///< Never opened within `patience`.
    std::uint64_t flowsBroken
        = 0; ///< Reset, silent, or answered by two servers, without a mark that explains it.
    std::uint64_t flowsGivenUpWithZone = 0; ///< The same for a server whose zone was ordered out.
    std::uint64_t flowsLostWithServer = 0; ///< The same for a server that was killed.
    std::uint64_t packetsSent = 0;
    std::uint64_t packetsAnswered = 0;
    std::uint64_t packetsRepeated = 0;
    std::uint64_t answersOfWrongService = 0;
    std::uint64_t answersMalformed = 0;
    std::size_t flowsOpen = 0;
    std::map<std::string, std::size_t> openByServer;
    std::vector<std::string> faults; ///< What befell the first broken flows.
};

/// Runs on a thread of its own.
///
///     Fabric fabric({.listen = listen, .services = services, .balancers = balancers});
///     BOOST_LEAF_CHECK(fabric.start());
class Fabric
{
public:
    explicit Fabric(FabricOptions options);
    ~Fabric();
    Fabric(const Fabric &) = delete;
    Fabric &operator=(const Fabric &) = delete;

    Result<void> start();
    /// Opens no more flows and ends the open ones. Returns when all have ended or `limit` has passed.
    void finish(std::chrono::milliseconds limit);
    void stop();

    /// Changes the balancers, for example after one has restarted at another address.
    void setBalancers(std::vector<FabricBalancer> balancers);
    /// Says which zone a backend server is in.
    void setServerZone(const std::string &server, const std::string &zone);
    /// From now on flows of servers in the zone may be given up.
    void markZoneOut(const std::string &zone);
    /// From now on flows of the server may be lost: it was killed, which is no planned change.
    void markServerDead(const std::string &server);

    Endpoint local() const;
    FabricFigures figures() const;

private:
    enum class FlowState { Opening, Open, Ending };

    struct Flow
    {
        std::size_t service = 0;
        FlowKey key;
        FlowState state = FlowState::Opening;
        std::string server; ///< That answered first.
        std::uint32_t sequence = 0; ///< First byte that is not acknowledged.
        std::uint32_t acknowledged = 0; ///< The server's next byte.
        std::uint32_t awaited
            = 0; ///< Acknowledgement that the packet under way needs; datagrams: its number.
        bool underWay = false;
        std::chrono::milliseconds wait{0};
        TimePoint lastAnswer;
        TimePoint endsAt;
        std::uint64_t turn = 0; ///< Of the newest timer; older ones are void.
    };

    struct Timer
    {
        TimePoint at;
        FlowKey key;
        std::uint64_t turn = 0;

        bool operator>(const Timer &other) const
        {
            return at > other.at;
        }
    };

    void loop();
    void healthLoop();
    void openFlows(TimePoint now);
    void openFlow(TimePoint now);
    void runTimers(TimePoint now);
    void onTimer(Flow &flow, TimePoint now);
    void sendNext(Flow &flow, TimePoint now);
    void sendPacket(Flow &flow, TimePoint now);
    std::size_t buildPacket(const Flow &flow, std::span<std::uint8_t> out);
    void spray(std::span<std::uint8_t> packet);
    void schedule(Flow &flow, TimePoint at);
    void receive(TimePoint now);
    void handleAnswer(std::span<std::uint8_t> datagram, TimePoint now);
    void handleTcpAnswer(Flow &flow, const ParsedPacket &parsed, std::string_view payload, TimePoint now);
    void noteServer(Flow &flow, std::string_view server, TimePoint now);
    void giveUp(FlowKey key, const std::string &fault);
    void endFlow(FlowKey key);
    bool isZoneOut(const std::string &server) const;

    FabricOptions m_options;
    FileDescriptor m_socket;
    ReceiveBatch m_receive;
    std::mt19937_64 m_random;
    std::vector<std::uint8_t> m_buffer;

    mutable std::mutex m_mutex; ///< Guards everything below.
    std::map<FlowKey, Flow> m_flows;
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    FabricFigures m_figures;
    std::vector<FabricBalancer> m_balancers;
    std::vector<bool> m_healthy;
    std::map<std::string, std::string> m_zoneOf;
    std::set<std::string> m_zonesOut;
    std::set<std::string> m_deadServers;
    TimePoint m_nextFlow;
    std::uint32_t m_nextCaller = 0;
    bool m_finishing = false;

    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
    std::thread m_healthThread;
};

} // namespace oriolelever::lab
