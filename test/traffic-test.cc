#include "oriolelever/traffic.h"

#include <future>

#include <asio/post.hpp>

#include "oriolelever/records.h"
#include "oriolelever/streams.h"
#include "path-deployment.h"

using namespace oriolelever;
using namespace oriolelever::test;

namespace {

constexpr auto drainLimit = std::chrono::seconds(20);

using Values = std::map<std::string, std::string>;

Values commonValues(const std::string &name)
{
    return {{"process.name", name},       {"process.zone", "milano-a"},   {"control.key", ""},
            {"control.previous_key", ""}, {"data.listen", "127.0.0.1:0"}, {"data.threads", "1"},
            {"data.mtu", "1500"}};
}

Settings balancerSettings(const Endpoint &callers)
{
    auto values = commonValues("b0");
    values["data.return"] = toString(callers);
    return {"", values};
}

Settings agentSettings(const Endpoint &callers, const Endpoint &server)
{
    auto values = commonValues("s0");
    values["data.return"] = toString(callers);
    values["data.tun"] = "";
    values["server.service"] = "sportello";
    values["server.packets"] = toString(server);
    return {"", values};
}

// The services of one process, records and traffic, under a kernel that runs on a separate thread.
class Process
{
public:
    Process(const std::string &name, NodeRole role, std::unique_ptr<Service> traffic)
    {
        m_kernel.add("streams",
                     std::make_unique<Streams>(
                         m_kernel.control(),
                         StreamsOptions{.listen = endpointOf("127.0.0.1:0"), .tls = {.plain = true}}));
        auto records = std::make_unique<Records>(
            RecordsOptions{.name = name,
                           .role = role,
                           .zone = "milano-a",
                           .service = role == NodeRole::Agent ? "sportello" : ""});
        m_records = records.get();
        m_kernel.add("records", std::move(records));
        m_kernel.add("traffic", std::move(traffic));
        m_status = std::async(std::launch::async, [this] { return m_kernel.run(drainLimit); });
    }

    void publish(const Record &record)
    {
        asio::post(m_kernel.control(), [this, record] { m_records->publish(record); });
    }

    /// Runs `action` on the control thread after all services have started, and waits for its end.
    void runOnControl(const std::function<void()> &action)
    {
        std::promise<void> done;
        asio::post(m_kernel.control(), [&] {
            action();
            done.set_value();
        });
        done.get_future().wait();
    }

    void shutDown()
    {
        asio::post(m_kernel.control(), [this] { m_kernel.shutDown(); });
    }

    bool hasStopped()
    {
        return m_status.wait_for(std::chrono::seconds(0)) == std::future_status::ready;
    }

    int status()
    {
        return m_status.get();
    }

private:
    Kernel m_kernel;
    Records *m_records = nullptr;
    std::future<int> m_status;
};

Record recordOf(RecordKind kind, const std::string &name, RecordVersion version, std::string value)
{
    Record record;
    record.key.kind = kind;
    record.key.name = name;
    record.version = version;
    record.value = std::move(value);
    return record;
}

} // namespace

TEST(TrafficTest, ServicesRelayByRecordsAndDrainWithoutBreakingAFlow)
{
    lab::PacketServer server(
        {.name = "s0", .listen = endpointOf("127.0.0.1:0"), .service = endpointOf("198.51.100.10:443")});
    ASSERT_TRUE(succeeds([&] { return server.start(); }));
    lab::Fabric fabric({.listen = endpointOf("127.0.0.1:0"),
                        .services = {{"sportello", endpointOf("198.51.100.10:443"), Protocol::Tcp}},
                        .flowsPerSecond = 50,
                        .packetGap = std::chrono::milliseconds(20),
                        .flowTime = std::chrono::milliseconds(300)});
    ASSERT_TRUE(succeeds([&] { return fabric.start(); }));

    auto balancerTraffic = std::make_unique<BalancerTraffic>(balancerSettings(fabric.local()));
    auto agentTraffic = std::make_unique<AgentTraffic>(agentSettings(fabric.local(), server.local()), 1);
    const auto *const balancerPath = balancerTraffic.get();
    const auto *const agentPath = agentTraffic.get();
    Process balancer("b0", NodeRole::Balancer, std::move(balancerTraffic));
    Process agent("s0", NodeRole::Agent, std::move(agentTraffic));

    Endpoint balancerData;
    Announcement announcement{.name = "s0", .zone = "milano-a", .service = "sportello", .incarnation = 1};
    announcement.state = NodeState::Ready;
    balancer.runOnControl([&] { balancerData = balancerPath->path().local(); });
    agent.runOnControl([&] { announcement.data = agentPath->path().local(); });
    const ServiceRow row{.name = "sportello", .address = endpointOf("198.51.100.10:443")};
    const auto service = recordOf(RecordKind::Service, row.name, {0, 1}, encodeServiceRow(row));
    const auto node = recordOf(RecordKind::Node, "s0", {1, 1}, encodeAnnouncement(announcement));
    for (auto *const process : {&balancer, &agent}) {
        process->publish(service);
        process->publish(node);
    }
    fabric.setBalancers({{.name = "b0", .data = balancerData, .admin = {}}});
    EXPECT_TRUE(waitFor([&] { return fabric.figures().flowsOpened >= 20; }));

    // The agent is shut down while flows are open, the balancer while packets arrive. Both must continue to
    // serve until the flows have ended.
    agent.shutDown();
    balancer.shutDown();
    const auto answered = fabric.figures().packetsAnswered;
    EXPECT_TRUE(waitFor([&] { return fabric.figures().packetsAnswered > answered + 20; }));
    EXPECT_FALSE(agent.hasStopped());
    EXPECT_FALSE(balancer.hasStopped());
    fabric.finish(std::chrono::seconds(10));
    EXPECT_EQ(fabric.figures().flowsBroken, 0U);
    EXPECT_EQ(balancer.status(), 0);
    EXPECT_EQ(agent.status(), 0);
}

TEST(TrafficTest, WrongKeyAndPortInUseAreErrorsOfTheStart)
{
    const auto occupied = openLoopback();
    const auto startError = [](const Values &values) {
        Kernel kernel;
        BalancerTraffic traffic(Settings("", values));
        return handleError(
            [&]() -> Result<Error> {
                BOOST_LEAF_CHECK(traffic.start(kernel));
                return Error{Code::Ok, ""};
            },
            [](const Error &error) { return error; });
    };
    auto values = commonValues("b0");
    values["data.return"] = "";
    values["control.key"] = "not hexadecimal";
    EXPECT_EQ(startError(values).code, Code::SettingInvalid);
    values["control.key"] = "";
    values["data.listen"] = toString(localEndpoint(occupied));
    EXPECT_EQ(startError(values).code, Code::AddressInUse);
    EXPECT_NE(startError(values).text.find(values["data.listen"]), std::string::npos);
}

TEST(TrafficTest, AnnouncedStateFollowsWarmthWithoutFlapping)
{
    EXPECT_EQ(AgentTraffic::stateFor(0.05, NodeState::Cold), NodeState::Cold);
    EXPECT_EQ(AgentTraffic::stateFor(0.8, NodeState::Cold), NodeState::Cold);
    EXPECT_EQ(AgentTraffic::stateFor(1.0, NodeState::Cold), NodeState::Ready);
    EXPECT_EQ(AgentTraffic::stateFor(0.8, NodeState::Ready), NodeState::Ready);
    EXPECT_EQ(AgentTraffic::stateFor(0.05, NodeState::Ready), NodeState::Cold);
}
