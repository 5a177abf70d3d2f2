// The packet path over loopback: callers, a balancer, agents, and backend servers that decide which flows
// they hold.
#include <algorithm>
#include <set>
#include <sstream>

#include <gtest/gtest.h>

#include "event-loop.h"
#include "oriolelever/bytes.h"
#include "oriolelever/clock.h"
#include "oriolelever/explain.h"
#include "oriolelever/gate-node.h"
#include "oriolelever/steering-node.h"
#include "wire-packet.h"

namespace oriolelever {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view serviceName = "sportello";
constexpr std::uint8_t ackFlag = 1;
constexpr std::uint8_t returnedFlag = 4;
constexpr std::uint8_t synFlag = 32;
constexpr std::size_t headerSize = 32;

Endpoint endpoint(const std::string &address, std::uint16_t port)
{
    Endpoint parsed;
    EXPECT_TRUE(parseIpAddress(address, parsed.address));
    parsed.port = port;
    return parsed;
}

std::vector<std::uint8_t> makePacket(const Endpoint &from, const Endpoint &to, std::uint8_t flags,
                                     std::uint32_t sequence, std::uint32_t acknowledgement,
                                     std::size_t payload)
{
    std::vector<std::uint8_t> bytes(headerSize + payload);
    write16(bytes.data(), static_cast<std::uint16_t>(payload));
    write16(bytes.data() + 2, to.port);
    std::copy_n(from.address.bytes.begin() + 12, 4, bytes.begin() + 4);
    write16(bytes.data() + 8, from.port);
    std::copy_n(to.address.bytes.begin() + 12, 4, bytes.begin() + 10);
    bytes[14] = flags;
    write32(bytes.data() + 16, 0xfeedf00d);
    write32(bytes.data() + 20, sequence);
    write32(bytes.data() + 24, acknowledgement);
    return bytes;
}

// A port that was free when it was checked, for any address of the loopback range.
std::uint16_t freePort()
{
    const auto socket = handleError([] { return openDatagramSocket(endpoint("127.0.0.1", 0)); },
                                    [](const Error &) { return FileDescriptor(); });
    return localEndpoint(socket).port;
}

const PacketFormat format = platform::wirePacketFormat();

// Accepts opening packets unless full, answers payload of flows that it holds, and returns everything else.
class StandInServer
{
public:
    StandInServer(asio::io_context &context, const Endpoint &address, const Endpoint &outbound)
        : m_port(context)
        , m_outbound(outbound)
    {
        handleError(
            [&]() -> Result<void> {
                return m_port.open(address, [this](std::span<std::uint8_t> bytes, const Endpoint &) {
                    handlePacket(bytes);
                });
            },
            [](const Error &error) { ADD_FAILURE() << error.text; });
    }

    std::set<FlowKey> flows;
    int requests = 0;
    bool isFull = false;
    bool isMute = false; ///< Answers no payload.
    std::vector<Segment> payloadPackets;

    void answer(const FlowKey &flow)
    {
        reply(makePacket(flow.service, flow.caller, ackFlag, 501, 9, 40));
        m_port.flush();
    }

private:
    void handlePacket(std::span<std::uint8_t> bytes)
    {
        Segment segment;
        ASSERT_TRUE(format.parse(bytes, segment));
        const auto key = flowFromCaller(segment);
        if (segment.payloadSize > 0) {
            payloadPackets.push_back(segment);
        }
        if (isMute && segment.payloadSize > 0) {
            return;
        }
        if (segment.opens() && !isFull) {
            flows.insert(key);
            reply(makePacket(segment.destination, segment.source, synFlag | ackFlag, 500,
                             segment.sequence + 1, 0));
        } else if (!segment.opens() && flows.contains(key)) {
            ++requests;
            reply(makePacket(segment.destination, segment.source, ackFlag, 501, segment.sequence, 40));
        } else {
            std::vector<std::uint8_t> returned(bytes.begin(), bytes.end());
            returned[14] |= returnedFlag;
            reply(returned);
        }
    }

    void reply(const std::vector<std::uint8_t> &bytes)
    {
        m_port.sendCopy(bytes, m_outbound);
    }

    PacketPort m_port;
    Endpoint m_outbound;
};

// Collects the log lines of all processes.
std::size_t appendLog(std::string &lines, const char *bytes, std::size_t size)
{
    lines.append(bytes, size);
    return size;
}

// A host with a backend server and its agent.
struct StandInHost
{
    StandInHost(asio::io_context &context, const std::string &address, std::uint16_t dataPort,
                std::uint16_t linkPort, std::uint64_t lifetime, std::string &logs)
        : relayEndpoint(endpoint(address, dataPort))
        , outboundEndpoint(endpoint(address, freePort()))
        , serverEndpoint(endpoint(address, freePort()))
        , server(std::make_unique<StandInServer>(context, serverEndpoint, outboundEndpoint))
        , log(
              {.node = address},
              [&logs](const char *bytes, std::size_t size) { return appendLog(logs, bytes, size); },
              [] { return unixTimeNow().count(); })
    {
        startAgent(context, linkPort, lifetime);
    }

    void startAgent(asio::io_context &context, std::uint16_t linkPort, std::uint64_t lifetime)
    {
        agent.reset();
        metrics = std::make_unique<Metrics>();
        agent = std::make_unique<GateNode>(
            context,
            GateNodeOptions{.relay = relayEndpoint,
                            .outbound = outboundEndpoint,
                            .server = serverEndpoint,
                            .balancerPort = linkPort,
                            .callerPort = relayEndpoint.port,
                            .lifetime = lifetime,
                            .format = format,
                            .gate = {.service = idOf<ServiceId>(serviceName), .zone = idOf<ZoneId>("a")},
                            .flowListPeriod = milliseconds(20),
                            .balancerTimeout = balancerTimeout},
            log, *metrics);
        handleError([&]() -> Result<void> { return agent->open(); },
                    [](const Error &error) { ADD_FAILURE() << error.text; });
    }

    void sendHeartbeat(std::uint64_t sequence, std::uint64_t startTimeMs = 1000, bool draining = false)
    {
        agent->handleHeartbeat({.id = "i-" + toString(relayEndpoint.address),
                                .startTimeMs = startTimeMs,
                                .sequence = sequence,
                                .service = std::string(serviceName),
                                .zone = "a",
                                .draining = draining,
                                .slots = 2});
    }

    Endpoint relayEndpoint;
    Endpoint outboundEndpoint;
    Endpoint serverEndpoint;
    std::unique_ptr<StandInServer> server;
    milliseconds balancerTimeout{10'000}; ///< For the next start of the agent.
    EventLog log;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<GateNode> agent;
};

class GatePathTest : public testing::Test
{
public:
    GatePathTest()
        : callers(context)
        , log(
              {.node = "front"},
              [this](const char *bytes, std::size_t size) { return appendLog(logs, bytes, size); },
              [] { return unixTimeNow().count(); })
    {
        startBalancer();
        handleError(
            [&]() -> Result<void> {
                return callers.open(endpoint("127.0.0.9", dataPort), [this](auto bytes, const Endpoint &) {
                    Segment segment;
                    ASSERT_TRUE(format.parse(bytes, segment));
                    received.push_back(segment);
                });
            },
            [](const Error &error) { ADD_FAILURE() << error.text; });
        for (const char *address : {"127.0.0.3", "127.0.0.4"}) {
            hosts.push_back(
                std::make_unique<StandInHost>(context, address, dataPort, linkPort, hosts.size() + 1, logs));
            hosts.back()->sendHeartbeat(5);
        }
        connectAgents();
    }

    void startBalancer()
    {
        balancer.reset();
        metrics = std::make_unique<Metrics>();
        balancer = std::make_unique<SteeringNode>(
            context,
            SteeringNodeOptions{.callerEndpoint = endpoint("127.0.0.2", dataPort),
                                .agentEndpoint = endpoint("127.0.0.2", linkPort),
                                .agentPort = dataPort,
                                .callerPort = dataPort,
                                .lifetime = ++lifetime,
                                .format = format,
                                .steering = {.zone = idOf<ZoneId>("a")}},
            log, *metrics);
        handleError([&]() -> Result<void> { return balancer->open(); },
                    [](const Error &error) { ADD_FAILURE() << error.text; });
    }

    // Gives the balancer what it would read from the store, and waits for the first report of each agent.
    void connectAgents()
    {
        RoutingTable table{.position = {.revision = 1}, .version = 1};
        table.routes[service] = {.services = {{idOf<ServiceId>(serviceName), 1}}};
        balancer->setTable(table);
        balancer->setEvacuatedZones({}, {});
        std::vector<IpAddress> listed;
        for (const auto &host : hosts) {
            listed.push_back(host->relayEndpoint.address);
        }
        balancer->setListedAgents(listed);
        runUntil(context, [&] {
            const auto &backends = balancer->state().backends;
            return backends.size() == hosts.size()
                && std::all_of(backends.begin(), backends.end(),
                               [](const auto &b) { return b.reportedAt != TimePoint{}; });
        });
    }

    // Runs until a report of the first agent states the era.
    bool isEraReported(std::uint64_t era)
    {
        EraTag reported = 0;
        balancer->reported = [&](const Report &report) {
            reported = report.documents.era;
        };
        runUntil(context, [&] { return reported == eraTagOf(era); });
        balancer->reported = {};
        return reported == eraTagOf(era);
    }

    void send(std::uint16_t port, std::uint8_t flags, std::uint32_t acknowledgement, std::size_t payload)
    {
        const auto bytes
            = makePacket(endpoint("127.0.0.9", port), service, flags, 9, acknowledgement, payload);
        callers.sendCopy(bytes, endpoint("127.0.0.2", dataPort));
        callers.flush();
    }

    Segment nextAnswer()
    {
        const auto receivedBefore = received.size();
        runUntil(context, [&] { return received.size() > receivedBefore; });
        return received.empty() ? Segment{} : received.back();
    }

    void openFlow(std::uint16_t port)
    {
        send(port, synFlag, 0, 0);
        const auto accepted = nextAnswer();
        EXPECT_TRUE(accepted.syn && accepted.ack);
        EXPECT_EQ(accepted.destination.port, port);
    }

    Segment request(std::uint16_t port)
    {
        send(port, ackFlag, 501, 60);
        return nextAnswer();
    }

    StandInHost &holderOf(std::uint16_t port)
    {
        const FlowKey key{.caller = endpoint("127.0.0.9", port), .service = service};
        return hosts[0]->server->flows.contains(key) ? *hosts[0] : *hosts[1];
    }

    asio::io_context context;
    const std::uint16_t dataPort = freePort();
    const std::uint16_t linkPort = freePort();
    const Endpoint service = endpoint("198.18.0.1", 443);

    // Explains a flow from nothing but the logs, as an operator would.
    Explanation explainFlow(std::uint16_t port)
    {
        const auto now = std::chrono::steady_clock::now();
        log.flush(now);
        for (const auto &host : hosts) {
            host->log.flush(now);
        }
        ParsedLogs reading;
        std::istringstream lines(logs);
        parseLog(lines, reading);
        EXPECT_EQ(reading.malformedLines, 0U);
        return explain(reading, {.flow = "127.0.0.9:" + std::to_string(port)});
    }

    // Simulates a restart of the server: it loses its flows and reports a later start time. Returns once the
    // caller has got a reset.
    void restartServerOf(std::uint16_t port)
    {
        auto &host = holderOf(port);
        host.server->flows.clear();
        const auto receivedBefore = received.size();
        host.sendHeartbeat(1, 2000);
        runUntil(context, [&] { return received.size() > receivedBefore; });
    }

    std::string logs;
    std::uint64_t lifetime = 0;
    std::vector<Segment> received;
    PacketPort callers;
    EventLog log;
    std::unique_ptr<Metrics> metrics;
    std::unique_ptr<SteeringNode> balancer;
    std::vector<std::unique_ptr<StandInHost>> hosts;
};

TEST_F(GatePathTest, AnAgentThatSeesANewEraOfTheStoreTellsBalancers)
{
    hosts[0]->agent->recordStoreEra(7);
    EXPECT_TRUE(isEraReported(7));
}

TEST_F(GatePathTest, AFlowIsServedFromEndToEnd)
{
    EXPECT_TRUE(balancer->isReady());
    openFlow(4001);
    const auto answer = request(4001);
    EXPECT_EQ(answer.payloadSize, 40U);
    EXPECT_EQ(answer.source, service);
    EXPECT_EQ(hosts[0]->server->requests + hosts[1]->server->requests, 1);
}

// Guards against callers that wait for their retransmission after a start of everything, while servers idle.
TEST_F(GatePathTest, AnOpeningThatComesBeforeTheConfigurationIsPlacedWithoutACopy)
{
    startBalancer();
    send(4001, synFlag, 0, 0);
    send(4002, synFlag, 0, 0);
    runUntil(context, [&] { return balancer->deferredOpenings() == 2; });
    ASSERT_EQ(balancer->deferredOpenings(), 2U);
    connectAgents();
    runUntil(context, [&] { return received.size() == 2; });
    ASSERT_EQ(received.size(), 2U);
    EXPECT_TRUE(received[0].syn && received[0].ack);
    EXPECT_TRUE(received[1].syn && received[1].ack);
    EXPECT_EQ(balancer->deferredOpenings(), 0U);
}

TEST_F(GatePathTest, FlowsSurviveABalancerRestart)
{
    for (std::uint16_t port = 4001; port < 4009; ++port) {
        openFlow(port);
        request(port);
    }
    startBalancer();
    connectAgents();
    for (std::uint16_t port = 4001; port < 4009; ++port) {
        EXPECT_EQ(request(port).payloadSize, 40U);
    }
}

TEST_F(GatePathTest, FlowsSurviveAnAgentRestart)
{
    openFlow(4001);
    request(4001);
    holderOf(4001).startAgent(context, linkPort, 50);
    EXPECT_EQ(request(4001).payloadSize, 40U);
}

TEST_F(GatePathTest, TheFirstHeartbeatAfterAnAgentRestartEndsNoFlow)
{
    openFlow(4001);
    request(4001);
    auto &host = holderOf(4001);
    host.startAgent(context, linkPort, 50);
    EXPECT_EQ(request(4001).payloadSize, 40U);
    host.sendHeartbeat(6);
    EXPECT_EQ(host.agent->state().flows.size(), 1U);
    EXPECT_EQ(request(4001).payloadSize, 40U);
}

TEST_F(GatePathTest, FlowsSurviveARestartOfAllButTheServers)
{
    openFlow(4001);
    request(4001);
    startBalancer();
    hosts[0]->startAgent(context, linkPort, 50);
    hosts[1]->startAgent(context, linkPort, 51);
    connectAgents();
    EXPECT_EQ(request(4001).payloadSize, 40U);
}

TEST_F(GatePathTest, ADrainingServerKeepsItsFlowsAndGetsNoNewOnes)
{
    openFlow(4001);
    request(4001);
    auto &draining = holderOf(4001);
    draining.sendHeartbeat(6, 1000, true);
    const auto flowsBefore = draining.server->flows.size();
    for (std::uint16_t port = 4010; port < 4016; ++port) {
        openFlow(port);
    }
    EXPECT_EQ(draining.server->flows.size(), flowsBefore);
    EXPECT_EQ(request(4001).payloadSize, 40U);
}

TEST_F(GatePathTest, AFullServersFlowsGoToTheOther)
{
    hosts[0]->server->isFull = true;
    for (std::uint16_t port = 4001; port < 4007; ++port) {
        openFlow(port);
    }
    EXPECT_EQ(hosts[1]->server->flows.size(), 6U);
}

TEST_F(GatePathTest, AFlowThatNoServerTakesIsRefusedAtOnce)
{
    hosts[0]->server->isFull = true;
    hosts[1]->server->isFull = true;
    send(4001, synFlag, 0, 0);
    const auto refused = nextAnswer();
    EXPECT_TRUE(refused.rst);
    EXPECT_EQ(refused.source, service);
    EXPECT_EQ(refused.destination.port, 4001);
}

TEST_F(GatePathTest, AFlowOfAServerThatStartedAnewIsReset)
{
    openFlow(4001);
    request(4001);
    restartServerOf(4001);
    EXPECT_TRUE(received.back().rst) << "the caller gets the reset before its next request";
    EXPECT_TRUE(request(4001).rst);
}

TEST_F(GatePathTest, AnIdleCallerIsToldAfterALossOfAllPower)
{
    for (const auto &host : hosts) {
        host->sendHeartbeat(1, 1500);
    }
    openFlow(4001);
    request(4001);
    std::optional<std::string> snapshot;
    runUntil(context, [&] {
        if (auto changed = balancer->changedSnapshot()) {
            snapshot = std::move(changed);
        }
        FlowRegistry registry;
        return snapshot && decodeSnapshot(*snapshot, unixTimeNow(), registry) == SnapshotOutcome::Restored
            && std::any_of(registry.begin(), registry.end(),
                           [](const auto &entry) { return !entry.second.flows.empty(); });
    });

    balancer.reset();
    std::uint64_t nextLifetime = 10;
    for (const auto &host : hosts) {
        host->server->flows.clear();
        host->startAgent(context, linkPort, ++nextLifetime);
        host->sendHeartbeat(1, 9000);
    }
    startBalancer();
    connectAgents();
    const auto receivedBefore = received.size();
    balancer->restoreFlows(*snapshot);
    runUntil(context, [&] { return received.size() > receivedBefore; });
    EXPECT_TRUE(received.back().rst);
    EXPECT_EQ(received.back().source, service);
    EXPECT_EQ(received.back().destination.port, 4001);
    EXPECT_EQ(received.back().sequence, 501U) << "what the caller has acknowledged";
}

TEST_F(GatePathTest, CallersOfADepartedServerGetResets)
{
    openFlow(4001);
    request(4001);
    auto &host = holderOf(4001);
    host.agent->handleDeparture("i-" + toString(host.relayEndpoint.address));
    const auto receivedBefore = received.size();
    host.agent->beginDrain();
    runUntil(context, [&] { return received.size() > receivedBefore; });
    EXPECT_TRUE(received.back().rst);
    EXPECT_EQ(received.back().destination.port, 4001);
}

// Guards against a held request that reaches its server with a packet missing, repeated, out of order or with
// the mark of another balancer.
TEST_F(GatePathTest, AHeldRequestReachesTheServerInOrderOnceAnotherIsAnswered)
{
    auto &host = *hosts[0];
    PacketPort peer(context);
    handleError(
        [&]() -> Result<void> { return peer.open(endpoint("127.0.0.8", linkPort), [](auto, auto &) {}); },
        [](const Error &error) { ADD_FAILURE() << error.text; });
    const auto relay = [&](std::uint16_t port, std::uint8_t priority, std::uint8_t flags,
                           std::uint32_t sequence, std::size_t payload) {
        const auto packet = makePacket(endpoint("127.0.0.9", port), service, flags, sequence,
                                       flags == synFlag ? 0 : 501, payload);
        std::vector<std::uint8_t> message(peerHeaderSize);
        encodePeerHeader(message,
                         {.terms = RouteTerms{.priority = priority, .latencyGoal = milliseconds(200)},
                          .number = idOf<ServiceId>(serviceName).value});
        message.insert(message.end(), packet.begin(), packet.end());
        peer.send(message, host.relayEndpoint);
        peer.flush();
    };
    for (std::uint16_t port = 4001; port <= 4005; ++port) {
        relay(port, port == 4005 ? 1 : 2, synFlag, 9, 0);
        EXPECT_TRUE(nextAnswer().syn);
        relay(port, port == 4005 ? 1 : 2, ackFlag, 9, 60);
        EXPECT_EQ(nextAnswer().payloadSize, 40U);
    }
    host.server->isMute = true;
    host.server->payloadPackets.clear();
    for (std::uint16_t port = 4001; port <= 4003; ++port) {
        relay(port, 2, ackFlag, 69, 60);
    }
    for (const std::uint32_t sequence : {69, 1269, 69, 2469}) {
        relay(4004, 2, ackFlag, sequence, 1200);
    }
    const auto &delivered = host.server->payloadPackets;
    runUntil(context,
             [&] { return host.agent->state().schedule.requestBytes > 3 * 1200 && delivered.size() >= 3; });
    EXPECT_EQ(delivered.size(), 3U);
    host.server->answer({.caller = endpoint("127.0.0.9", 4001), .service = service});
    runUntil(context, [&] { return delivered.size() >= 6; });
    ASSERT_EQ(delivered.size(), 6U);
    for (std::uint32_t i = 0; i < 3; ++i) {
        EXPECT_EQ(delivered[3 + i].source.port, 4004);
        EXPECT_EQ(delivered[3 + i].sequence, 69 + 1200 * i);
        EXPECT_EQ(delivered[3 + i].mark, ipv4Number(endpoint("127.0.0.8", 1).address));
    }
    const auto explanation = explainFlow(4004);
    EXPECT_NE(explanation.cause.find("a request waited at"), std::string::npos) << explanation.cause;

    relay(4004, 2, ackFlag, 9999, 60);
    relay(4005, 1, ackFlag, 69, 60);
    runUntil(context, [&] { return host.agent->state().schedule.requests == 1; });
    host.sendHeartbeat(1, 2000);
    EXPECT_EQ(host.agent->state().schedule.requests, 0U) << "its flow has ended with the server";
}

TEST_F(GatePathTest, TheLogsExplainARefusedFlow)
{
    hosts[0]->server->isFull = true;
    hosts[1]->server->isFull = true;
    send(4001, synFlag, 0, 0);
    EXPECT_TRUE(nextAnswer().rst);
    const auto explanation = explainFlow(4001);
    EXPECT_EQ(explanation.outcome, "401 refused-not-run");
    EXPECT_NE(explanation.cause.find("no server of the service accepted it"), std::string::npos)
        << explanation.cause;
    const auto fullCount
        = std::count_if(explanation.events.begin(), explanation.events.end(), [](const LogEvent &event) {
              return event.event == "packet_bounced" && event.fields["reason"] == "full";
          });
    EXPECT_EQ(fullCount, 2) << "the injected cause: both servers were full";
}

TEST_F(GatePathTest, TheLogsExplainAResetFlow)
{
    openFlow(4001);
    request(4001);
    restartServerOf(4001);
    EXPECT_TRUE(request(4001).rst);
    const auto explanation = explainFlow(4001);
    EXPECT_EQ(explanation.outcome, "402 outcome-unknown");
    const bool namesStart
        = std::any_of(explanation.events.begin(), explanation.events.end(), [](const LogEvent &event) {
              return event.event == "server_heartbeat" && event.fields["outcome"] == "new_start"
                  && event.fields["born_at"] == 2000;
          });
    EXPECT_TRUE(namesStart) << "the injected cause: the server restarted";
}

TEST_F(GatePathTest, TheLogsExplainAMissingAnswer)
{
    openFlow(4001);
    request(4001);
    auto &host = holderOf(4001);
    host.server.reset();
    send(4001, ackFlag, 501, 60);
    runUntil(context, [&] { return host.agent->state().serverState == BackendState::Silent; });
    const auto explanation = explainFlow(4001);
    const bool namesServer
        = std::any_of(explanation.events.begin(), explanation.events.end(), [](const LogEvent &event) {
              return event.event == "server_probed" && event.fields["refused"] == true;
          });
    EXPECT_TRUE(namesServer) << "the injected cause: nothing listens on the server's address";
}

// Guards against a balancer of an earlier version that cannot read a report with a capacity, and against a
// capacity that is lost when an agent restarts.
TEST_F(GatePathTest, CapacityGoesToBalancersThatAcceptItAndBackToARestartedAgent)
{
    auto &host = *hosts[0];

    struct Peer
    {
        std::unique_ptr<PacketPort> port;
        std::vector<Report> reports;
    };

    std::array<Peer, 2> peers; // The second one is of an earlier version.
    for (std::size_t i = 0; i < peers.size(); ++i) {
        auto &peer = peers[i];
        peer.port = std::make_unique<PacketPort>(context);
        handleError(
            [&]() -> Result<void> {
                return peer.port->open(endpoint("127.0.0." + std::to_string(5 + i), linkPort),
                                       [&peer](std::span<std::uint8_t> bytes, const Endpoint &) {
                                           Report report;
                                           if (decodeReport(bytes, report)) {
                                               peer.reports.push_back(report);
                                           }
                                       });
            },
            [](const Error &error) { ADD_FAILURE() << error.text; });
        Hello hello{.lifetime = 50 + i, .acceptsCapacity = i == 0};
        if (i == 0) {
            hello.remembered
                = {.bornAt = 1000, .capacity = {.answersPerSecond = 80, .concurrency = 2, .evidence = 200}};
        }
        std::array<std::uint8_t, maxPeerMessageSize> bytes{};
        peer.port->sendCopy({bytes.data(), encodeHello(bytes, hello)}, host.relayEndpoint);
        peer.port->flush();
    }
    // The first report of each answers the hello, the second one is periodic.
    runUntil(context, [&] {
        return std::all_of(peers.begin(), peers.end(),
                           [](const Peer &peer) { return peer.reports.size() >= 2; });
    });
    for (std::size_t i = 0; i < 2; ++i) {
        ASSERT_TRUE(peers[0].reports.at(i).capacity);
        EXPECT_NEAR(peers[0].reports[i].capacity->answersPerSecond, 80, 1);
        EXPECT_FALSE(peers[1].reports.at(i).capacity);
    }
    const auto index = balancer->state().backendByHost.at(host.relayEndpoint.address);
    const auto &report = balancer->state().backends[index].report;
    runUntil(context, [&] { return report.capacity && report.capacity->evidence > 0; });
    host.startAgent(context, linkPort, 77);
    host.sendHeartbeat(6);
    host.agent->addBalancers({endpoint("127.0.0.2", linkPort).address});
    runUntil(context, [&] { return host.agent->state().capacity.cause == CapacityCause::Restored; });
    EXPECT_NEAR(learnedCapacity(host.agent->state()).answersPerSecond, 80, 1);
    host.log.flush(steadyNow());
    EXPECT_NE(logs.find("capacity_remembered"), std::string::npos);
}

// Guards against resets of idle flows: a balancer that has restarted and cannot read the configuration sends
// hellos to agents whose limits the other balancers know.
TEST_F(GatePathTest, ABalancerWithoutAConfigurationStatesNoLimits)
{
    auto &host = *hosts[0];
    Metrics otherMetrics;
    SteeringNode other(context,
                       {.callerEndpoint = endpoint("127.0.0.5", dataPort),
                        .agentEndpoint = endpoint("127.0.0.5", linkPort),
                        .agentPort = dataPort,
                        .callerPort = dataPort,
                        .lifetime = 51,
                        .format = platform::wirePacketFormat()},
                       host.log, otherMetrics);
    RoutingTable table{.position = {.revision = 2}, .version = 2, .idleLimit = milliseconds(7000)};
    table.routes[service] = {.services = {{idOf<ServiceId>(serviceName), 1}}};
    balancer->setTable(table);
    const auto limit = [&host] {
        return host.agent->state().idleTimeout;
    };
    runUntil(context, [&] { return limit() == milliseconds(7000); });
    handleError([&] { return other.open(); }, [](const Error &error) { ADD_FAILURE() << error.text; });
    other.setListedAgents({host.relayEndpoint.address});
    const auto &backends = other.state().backends;
    runUntil(context, [&] { return !backends.empty() && backends[0].reportedAt != TimePoint{}; });
    // The answer to a hello shows that the agent has read it.
    const auto reported = backends[0].reportedAt;
    other.setListedAgents({host.relayEndpoint.address});
    runUntil(context, [&] { return backends[0].reportedAt > reported; });
    EXPECT_EQ(limit(), milliseconds(7000));
    other.stop();
}

// Guards against limits of a balancer that is gone staying in force.
TEST_F(GatePathTest, TheLimitsOfADroppedBalancerEnd)
{
    auto &host = *hosts[0];
    host.balancerTimeout = milliseconds(1500);
    host.startAgent(context, linkPort, 21);
    const auto tableWith = [this](milliseconds idleLimit) {
        RoutingTable table{.position = {.revision = 2}, .version = 2, .idleLimit = idleLimit};
        table.routes[service] = {.services = {{idOf<ServiceId>(serviceName), 1}}};
        return table;
    };
    const auto limit = [&host] {
        return host.agent->state().idleTimeout;
    };
    host.sendHeartbeat(6);
    balancer->setTable(tableWith(milliseconds(7000)));
    runUntil(context, [&] { return limit() == milliseconds(7000); });
    {
        Metrics otherMetrics;
        SteeringNode other(context,
                           {.callerEndpoint = endpoint("127.0.0.5", dataPort),
                            .agentEndpoint = endpoint("127.0.0.5", linkPort),
                            .agentPort = dataPort,
                            .callerPort = dataPort,
                            .lifetime = 51,
                            .format = platform::wirePacketFormat()},
                           host.log, otherMetrics);
        handleError([&] { return other.open(); }, [](const Error &error) { ADD_FAILURE() << error.text; });
        other.setTable(tableWith(milliseconds(9000)));
        other.setListedAgents({host.relayEndpoint.address});
        runUntil(context, [&] { return limit() == milliseconds(9000); });
        other.stop();
    }
    runUntil(context, [&] { return limit() == milliseconds(7000); });
}

TEST_F(GatePathTest, HostileDatagramsChangeNothing)
{
    const std::vector<std::uint8_t> noise{1, 2, 3};
    callers.sendCopy(noise, endpoint("127.0.0.2", dataPort));
    callers.sendCopy(noise, endpoint("127.0.0.2", linkPort));
    callers.sendCopy(noise, hosts[0]->relayEndpoint);
    callers.sendCopy(noise, hosts[0]->outboundEndpoint);
    auto forged = makePacket(endpoint("127.0.0.9", 4001), service, synFlag | ackFlag, 9, 1, 0);
    callers.sendCopy(forged, endpoint("127.0.0.2", dataPort));
    callers.flush();
    openFlow(4002);
    EXPECT_EQ(request(4002).payloadSize, 40U);
    EXPECT_EQ(hosts[0]->server->flows.size() + hosts[1]->server->flows.size(), 1U);
}

// Guards against a change that one balancer has seen, and that the others, whose watches the store has lost,
// learn with its next hello only, up to a second later.
TEST_F(GatePathTest, WhatABalancerHasLearnedReachesTheOthersAtOnce)
{
    DocumentRevisions known{.era = 1, .configuration = 6};
    balancer->documents = [&] {
        return known;
    };
    std::uint64_t reported = 0;
    balancer->reported = [&](const Report &report) {
        reported = report.documents.configuration;
    };
    const auto start = std::chrono::steady_clock::now();
    constexpr int changes = 4;
    for (int i = 0; i < changes; ++i) {
        ++known.configuration;
        balancer->announceDocuments();
        runUntil(context, [&] { return reported == known.configuration; });
    }
    // With hellos alone, each change after the first takes one more period.
    EXPECT_LT(std::chrono::steady_clock::now() - start, SteeringNodeOptions{}.helloPeriod);
    balancer->reported = {};
}

} // namespace
} // namespace oriolelever
