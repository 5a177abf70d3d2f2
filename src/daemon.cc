#include "oriolelever/daemon.h"

#include <chrono>

#include <asio/steady_timer.hpp>
#include <fmt/format.h>
#include <prometheus/gauge.h>

#include "oriolelever/admin.h"
#include "oriolelever/cli.h"
#include "oriolelever/levels.h"
#include "oriolelever/log.h"
#include "oriolelever/members.h"
#include "oriolelever/metrics.h"
#include "oriolelever/platform.h"
#include "oriolelever/records.h"
#include "oriolelever/requests.h"
#include "oriolelever/streams.h"
#include "oriolelever/traffic.h"

namespace oriolelever {

namespace {

constexpr std::chrono::seconds metricsInterval{1};

// Copies the byte counts of the control streams into metrics once a second.
class ControlMetrics : public Service
{
public:
    Result<void> start(Kernel &kernel) override
    {
        auto &family = prometheus::BuildGauge()
                           .Name("oriolelever_control_bytes_total")
                           .Help("Bytes of control streams since the start.")
                           .Register(kernel.find<Metrics>("metrics").registry());
        m_in = &family.Add({{"direction", "in"}});
        m_out = &family.Add({{"direction", "out"}});
        m_streams = &kernel.find<Streams>("streams");
        m_timer = std::make_unique<asio::steady_timer>(kernel.control());
        update();
        return {};
    }

    void stop() override
    {
        m_timer.reset();
    }

private:
    void update()
    {
        m_in->Set(static_cast<double>(m_streams->totals().bytesReceived));
        m_out->Set(static_cast<double>(m_streams->totals().bytesSent));
        m_timer->expires_after(metricsInterval);
        m_timer->async_wait([this](const asio::error_code &error) {
            if (!error) {
                update();
            }
        });
    }

    Streams *m_streams = nullptr;
    prometheus::Gauge *m_in = nullptr;
    prometheus::Gauge *m_out = nullptr;
    std::unique_ptr<asio::steady_timer> m_timer;
};

std::string_view roleName(NodeRole role)
{
    return role == NodeRole::Balancer ? "balancer" : "agent";
}

// Prints every problem; true if there is none and the file is for the role.
bool areSettingsUsable(const std::string &file, std::string_view role, const std::vector<Problem> &problems)
{
    for (const auto &problem : problems) {
        fmt::print(stderr, "{}\n", toString(problem));
    }
    if (!problems.empty()) {
        return false;
    }
    const auto fileRole = settingsRole(file).value_or("");
    if (fileRole == role) {
        return true;
    }
    usageError(fmt::format("{}: process.role is \"{}\"; allowed: {}", file, fileRole, role));
    return false;
}

} // namespace

Result<void> addServices(Kernel &kernel, const Settings &settings, NodeRole role)
{
    BOOST_LEAF_AUTO(members, membersOptions(settings));
    const auto incarnation = incarnationAt(std::chrono::system_clock::now());
    auto metrics = std::make_unique<Metrics>();
    BOOST_LEAF_AUTO(tokens, parseOperatorTokens(settings.text("process", "admin_tokens")));
    auto admin = std::make_unique<Admin>(settings.address("process", "admin"), *metrics, tokens);
    kernel.add("metrics", std::move(metrics));
    kernel.add("admin", std::move(admin));
    kernel.add("platform", std::make_unique<PlatformClient>(platformOptions(settings)));
    kernel.add("streams", std::make_unique<Streams>(kernel.control(), controlStreamsOptions(settings)));
    kernel.add("control-metrics", std::make_unique<ControlMetrics>());
    kernel.add("records", std::make_unique<Records>(recordsOptions(settings)));
    kernel.add("members", std::make_unique<Members>(members));
    kernel.add("node", std::make_unique<Node>(announcementFrom(settings, role, incarnation)));
    if (role == NodeRole::Balancer) {
        kernel.add("traffic", std::make_unique<BalancerTraffic>(settings));
        return {};
    }
    kernel.add("traffic", std::make_unique<AgentTraffic>(settings, incarnation));
    kernel.add("levels", std::make_unique<ServiceLevels>(settings.text("server", "service")));
    kernel.add("requests", std::make_unique<Requests>(settings, incarnation));
    return {};
}

int runDaemon(const std::string &file, NodeRole role)
{
    std::vector<Problem> problems;
    const auto settings = readSettings(file, settingSpecs(roleName(role)), problems);
    if (!areSettingsUsable(file, roleName(role), problems)) {
        return exitUsage;
    }
    LogLevel level = LogLevel::Info;
    parseLogLevel(settings.text("process", "log"), level);
    initLogging(level);
    Kernel kernel;
    return handleError(
        [&]() -> Result<int> {
            BOOST_LEAF_CHECK(addServices(kernel, settings, role));
            return kernel.run(settings.time("process", "drain_ms"));
        },
        [](const Error &error) { return usageError(error.text); });
}

} // namespace oriolelever
