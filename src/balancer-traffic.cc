#include <algorithm>

#include <asio/post.hpp>

#include "oriolelever/admin.h"
#include "oriolelever/log.h"
#include "oriolelever/metrics.h"
#include "oriolelever/records.h"
#include "oriolelever/traffic.h"
#include "traffic-detail.h"

namespace oriolelever {

namespace {

const Log &trafficLog()
{
    static const Log instance("traffic");
    return instance;
}

} // namespace

BalancerTraffic::BalancerTraffic(const Settings &settings)
    : m_key(settings.text("control", "key"))
    , m_previousKey(settings.text("control", "previous_key"))
{
    m_options.listen = settings.address("data", "listen");
    m_options.threads = settings.count("data", "threads");
    m_options.mtu = static_cast<std::uint16_t>(settings.count("data", "mtu"));
    if (settings.has("data", "return")) {
        m_options.returnEndpoint = settings.address("data", "return");
    }
}

BalancerTraffic::~BalancerTraffic() = default;

Result<void> BalancerTraffic::start(Kernel &kernel)
{
    BOOST_LEAF_ASSIGN(m_options.keys, parseTagKeys(m_key, m_previousKey));
    m_path = std::make_unique<BalancerPath>(m_options);
    BOOST_LEAF_CHECK(m_path->start());
    trafficLog().info("relaying packets from {}", toString(m_path->local()));
    m_records = &kernel.find<Records>("records");
    m_records->subscribe([this](const std::vector<Record> &changed) { handleRecords(changed); });
    handleRecords(detail::recordKeysOf(m_records->view()));
    if (auto *const metrics = kernel.tryFind<Metrics>("metrics")) {
        m_metrics = std::make_unique<PathMetrics>(*metrics);
    }
    if (auto *const admin = kernel.tryFind<Admin>("admin")) {
        admin->addStatus("traffic", [this] {
            auto status = nlohmann::json::object();
            m_path->forEachThreadCounters(
                [&](const PathCounters &counters) { detail::addCounters(status, counters); });
            return status;
        });
    }
    m_timer = std::make_unique<asio::steady_timer>(kernel.control());
    m_drainTimer = std::make_unique<asio::steady_timer>(kernel.control());
    handleTimer();
    return {};
}

void BalancerTraffic::handleRecords(const std::vector<Record> &changed)
{
    m_path->setRouting(
        updateRouting(m_builder, m_records->view(), changed, std::chrono::steady_clock::now()));
}

void BalancerTraffic::handleTimer()
{
    if (m_metrics) {
        m_metrics->update([this](const auto &visit) { m_path->forEachThreadCounters(visit); });
    }
    m_timer->expires_after(detail::metricsInterval);
    m_timer->async_wait([this](const asio::error_code &error) {
        if (!error) {
            handleTimer();
        }
    });
}

void BalancerTraffic::drain(std::function<void()> done)
{
    m_onDrained = std::move(done);
    m_drainStart = std::chrono::steady_clock::now();
    checkDrained();
}

void BalancerTraffic::checkDrained()
{
    const auto lastReceiveTime = std::max(m_path->lastReceiveTime(), m_drainStart);
    if (std::chrono::steady_clock::now() - lastReceiveTime >= detail::drainQuietTime) {
        m_onDrained();
        return;
    }
    m_drainTimer->expires_after(detail::drainPollInterval);
    m_drainTimer->async_wait([this](const asio::error_code &error) {
        if (!error) {
            checkDrained();
        }
    });
}

void BalancerTraffic::stop()
{
    m_timer.reset();
    m_drainTimer.reset();
    if (m_path) {
        m_path->stop();
    }
}

} // namespace oriolelever
