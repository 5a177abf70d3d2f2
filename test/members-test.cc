#include "oriolelever/members.h"

#include <asio/ip/tcp.hpp>

#include <algorithm>

#include <gtest/gtest.h>

#include "fakes.h"

using namespace oriolelever;
using namespace std::chrono_literals;

namespace {

constexpr std::chrono::seconds watchdog{30};

Endpoint loopback()
{
    Endpoint endpoint;
    parseIpAddress("127.0.0.1", endpoint.address);
    return endpoint;
}

// Returns a port that is free for both TCP and UDP, whose ephemeral ports are assigned independently.
Endpoint freePort(asio::io_context &context)
{
    auto endpoint = loopback();
    while (true) {
        const asio::ip::tcp::acceptor tcp(context, {asio::ip::address_v4::loopback(), 0});
        endpoint.port = tcp.local_endpoint().port();
        asio::ip::udp::socket udp(context, asio::ip::udp::v4());
        asio::error_code error;
        udp.bind({asio::ip::address_v4::loopback(), endpoint.port}, error);
        if (!error) {
            return endpoint;
        }
    }
}

// One process with records and failure detection, on a shared event loop.
struct Process
{
    Process(asio::io_context &context, ObjectApi &platform, const std::string &name, NodeRole role,
            const std::string &zone, const std::vector<Endpoint> &seeds)
        : streams(context, {.listen = freePort(context), .tls = {.plain = true}})
        , records({.name = name,
                   .role = role,
                   .zone = zone,
                   .service = role == NodeRole::Agent ? "wx-brief" : "",
                   .seeds = seeds,
                   .pushDelay = 5ms,
                   .exchangeInterval = 50ms})
    {
        EXPECT_TRUE(streams.open());
        records.startOn(context, streams, &platform);
        MembersOptions options;
        options.listen = streams.listenEndpoint();
        options.keys.current = TagKey{1, 2, 3};
        options.monitor.heartbeatInterval = 50ms;
        options.monitor.suspicionTimeout = 300ms;
        options.lease.writeInterval = 20ms;
        options.lease.retryInterval = 50ms;
        options.probeTimeout = 40ms;
        members = std::make_unique<Members>(options);
        EXPECT_TRUE(members->startOn(context, records, &platform));
        records.announce({.name = name,
                          .role = role,
                          .zone = zone,
                          .service = records.options().service,
                          .incarnation = 1,
                          .state = NodeState::Ready,
                          .control = streams.listenEndpoint()});
    }

    void kill()
    {
        members->stop();
        records.stop();
        streams.stop();
    }

    Streams streams;
    Records records;
    std::unique_ptr<Members> members;
};

class MembersTest : public testing::Test
{
protected:
    void SetUp() override
    {
        for (int i = 1; i <= 3; ++i) {
            add("b" + std::to_string(i), NodeRole::Balancer, "ost-a");
        }
        for (int i = 1; i <= 4; ++i) {
            add("s" + std::to_string(i), NodeRole::Agent, "ost-b");
        }
        ASSERT_TRUE(runUntil([&] {
            return std::all_of(m_processes.begin(), m_processes.end(),
                               [](const auto &process) { return process->records.view().nodes.size() == 7; });
        }));
        ASSERT_TRUE(runUntil([&] {
            return std::all_of(m_processes.begin(), m_processes.begin() + 3, [](const auto &process) {
                return process->records.attachedAgents().size() == 4;
            });
        }));
    }

    void add(const std::string &name, NodeRole role, const std::string &zone)
    {
        std::vector<Endpoint> seeds;
        if (!m_processes.empty()) {
            seeds.push_back(m_processes.front()->streams.listenEndpoint());
        }
        m_processes.push_back(std::make_unique<Process>(m_context, m_objects, name, role, zone, seeds));
    }

    template<typename Condition>
    bool runUntil(Condition condition)
    {
        const auto end = std::chrono::steady_clock::now() + watchdog;
        while (!condition() && std::chrono::steady_clock::now() < end) {
            m_context.run_one_for(100ms);
        }
        return condition();
    }

    NodeState stateAt(std::size_t process, const std::string &name)
    {
        return m_processes[process]->records.view().nodes.at(name).announcement.state;
    }

    asio::io_context m_context;
    FakeObjectApi m_objects{m_context};
    std::vector<std::unique_ptr<Process>> m_processes;
};

} // namespace

TEST_F(MembersTest, DeadProcessesAreAnnouncedDownToAll)
{
    m_processes[1]->kill();
    m_processes[4]->kill();
    EXPECT_TRUE(runUntil([&] {
        return stateAt(0, "b2") == NodeState::Down && stateAt(2, "b2") == NodeState::Down
            && stateAt(0, "s2") == NodeState::Down && stateAt(3, "s2") == NodeState::Down;
    }));
    EXPECT_EQ(stateAt(0, "b3"), NodeState::Ready);
    EXPECT_EQ(stateAt(0, "s1"), NodeState::Ready);
}

TEST_F(MembersTest, LostZoneIsDeclaredAsAWhole)
{
    for (std::size_t i = 3; i < 7; ++i) {
        m_processes[i]->kill();
    }
    EXPECT_TRUE(runUntil([&] {
        const auto names = {"s1", "s2", "s3", "s4"};
        return std::all_of(names.begin(), names.end(), [&](const auto &name) {
            return stateAt(0, name) == NodeState::Down && stateAt(1, name) == NodeState::Down;
        });
    }));
    EXPECT_EQ(stateAt(0, "b1"), NodeState::Ready);
    std::uint64_t losses = 0;
    for (std::size_t i = 0; i < 3; ++i) {
        losses += m_processes[i]->members->totals().zoneLosses;
    }
    EXPECT_GE(losses, 1U);
}

TEST_F(MembersTest, GracefulStopIsAnnouncedByTheProcessItself)
{
    auto &leaving = *m_processes[5];
    bool done = false;
    leaving.members->drain([&] { done = true; });
    EXPECT_TRUE(done);
    EXPECT_TRUE(runUntil([&] { return stateAt(1, "s3") == NodeState::Down; }));
    EXPECT_EQ(m_processes[1]->records.view().nodes.at("s3").version.sequence % 2, 0U);
}

TEST_F(MembersTest, GroupHasOneHolderThatWritesItsMembers)
{
    const auto holders = [&] {
        return std::count_if(m_processes.begin(), m_processes.begin() + 3, [](const auto &process) {
            return holdsLease(process->members->lease(), process->records.options().name, 1)
                && process->members->lease().stored->members.size() == 3;
        });
    };
    EXPECT_TRUE(runUntil([&] { return holders() == 1; }));
}

TEST_F(MembersTest, LostAnswerToALeaseWriteIsResolvedByReading)
{
    ASSERT_TRUE(runUntil([&] { return m_objects.writes > 0; }));
    m_objects.loseNextAnswer = true;
    m_processes[2]->kill();
    EXPECT_TRUE(runUntil([&] {
        return !m_objects.loseNextAnswer
            && std::any_of(m_processes.begin(), m_processes.begin() + 2, [](const auto &process) {
                   const auto &lease = process->members->lease();
                   return holdsLease(lease, process->records.options().name, 1)
                       && lease.stored->members.size() == 2;
               });
    }));
}

TEST_F(MembersTest, ForgedDatagramsAreRefusedAndCounted)
{
    asio::ip::udp::socket socket(m_context, {asio::ip::address_v4::loopback(), 0});
    TagKeys wrong;
    wrong.current = TagKey{9};
    const auto bytes = encodePing({.type = PingType::Ping, .from = "b2", .to = "b1", .nonce = 1}, wrong);
    const auto port = m_processes[0]->streams.listenEndpoint().port;
    socket.send_to(asio::buffer(bytes), {asio::ip::address_v4::loopback(), port});
    EXPECT_TRUE(runUntil([&] { return m_processes[0]->members->totals().refused > 0; }));
}
