#include <algorithm>

#include "oriolelever/admin.h"
#include "oriolelever/log.h"
#include "oriolelever/metrics.h"
#include "oriolelever/node.h"
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

constexpr double fullWarmth = 0.99;
constexpr double lostWarmth = 0.5;

nlohmann::json statusOf(const AgentPath &path)
{
    const auto figures = path.figures();
    nlohmann::json status{{"local_flows", figures.localFlows},
                          {"flow_limit", figures.flowLimit},
                          {"known_flows", figures.knownFlows},
                          {"held_packets", figures.heldPackets},
                          {"owned_buckets", figures.ownedBuckets},
                          {"granted_buckets", figures.grantedBuckets},
                          {"warmth", figures.warmth}};
    detail::addCounters(status, path.counters());
    return status;
}

} // namespace

AgentTraffic::AgentTraffic(const Settings &settings, Incarnation incarnation)
    : m_service(settings.text("server", "service"))
    , m_zone(settings.text("process", "zone"))
    , m_tun(settings.text("data", "tun"))
    , m_server(settings.address("server", "packets"))
    , m_key(settings.text("control", "key"))
    , m_previousKey(settings.text("control", "previous_key"))
{
    m_options.listen = settings.address("data", "listen");
    m_options.returnTo = settings.address("data", "return");
    m_options.mtu = static_cast<std::uint16_t>(settings.count("data", "mtu"));
    m_options.directory.self = idOf<ServerId>(settings.text("process", "name"));
    m_options.directory.service = idOf<ServiceId>(m_service);
    m_options.directory.incarnation = incarnation;
    m_options.directory.seed = incarnation;
}

AgentTraffic::~AgentTraffic() = default;

Result<std::unique_ptr<Delivery>> AgentTraffic::openDelivery() const
{
    if (!m_tun.empty()) {
        return makeTunDelivery({.device = m_tun, .mtu = m_options.mtu});
    }
    return makeSocketDelivery({.server = m_server, .mtu = m_options.mtu});
}

Result<void> AgentTraffic::start(Kernel &kernel)
{
    BOOST_LEAF_ASSIGN(m_options.keys, parseTagKeys(m_key, m_previousKey));
    BOOST_LEAF_AUTO(delivery, openDelivery());
    m_path = std::make_unique<AgentPath>(m_options, std::move(delivery));
    BOOST_LEAF_CHECK(m_path->start());
    trafficLog().info("taking packets at {}", toString(m_path->local()));
    m_records = &kernel.find<Records>("records");
    m_records->subscribe([this](const std::vector<Record> &changed) { onRecords(changed); });
    onRecords(detail::recordsOf(m_records->view()));
    m_node = kernel.tryFind<Node>("node");
    if (auto *const metrics = kernel.tryFind<Metrics>("metrics")) {
        m_metrics = std::make_unique<PathMetrics>(*metrics);
    }
    if (auto *const admin = kernel.tryFind<Admin>("admin")) {
        admin->addStatus("traffic", [this] { return statusOf(*m_path); });
    }
    m_timer = std::make_unique<asio::steady_timer>(kernel.control());
    m_drainTimer = std::make_unique<asio::steady_timer>(kernel.control());
    onTimer();
    return {};
}

void AgentTraffic::onRecords(const std::vector<Record> &changed)
{
    const auto &view = m_records->view();
    const auto routing = updateRouting(m_builder, view, changed, std::chrono::steady_clock::now());
    const auto service = view.services.find(m_service);
    if (service == view.services.end()) {
        return;
    }
    const auto &row = service->second.row;
    const auto *const route = findRoute(*routing, row.address, row.protocol);
    if (route == nullptr || *route == m_route || (*route)->id != m_options.directory.service) {
        return;
    }
    m_route = *route;
    m_path->setRoute(m_route);
}

void AgentTraffic::onTimer()
{
    if (m_metrics) {
        m_metrics->update([this](const auto &visit) { visit(m_path->counters()); });
    }
    if (m_node != nullptr) {
        m_node->setState(stateFor(m_path->figures().warmth, m_node->announcement().state));
    }
    m_timer->expires_after(detail::metricsInterval);
    m_timer->async_wait([this](const asio::error_code &error) {
        if (!error) {
            onTimer();
        }
    });
}

NodeState AgentTraffic::stateFor(double warmth, NodeState current)
{
    if (warmth >= fullWarmth) {
        return NodeState::Ready;
    }
    return warmth < lostWarmth ? NodeState::Cold : current;
}

void AgentTraffic::addSample(const AnswerSample &sample)
{
    m_path->addSample(sample);
}

void AgentTraffic::drain(std::function<void()> done)
{
    m_drained = std::move(done);
    m_drainStart = std::chrono::steady_clock::now();
    checkDrained();
}

bool AgentTraffic::hasDrained() const
{
    const auto now = std::chrono::steady_clock::now();
    const auto &view = m_records->view();
    const auto service = view.services.find(m_service);
    if (service == view.services.end() || isZoneOut(view, m_zone)) {
        return true;
    }
    const auto figures = m_path->figures();
    if (now - m_drainStart >= service->second.row.drainTime) {
        // The flows that are left live on beside the next agent, which learns of them from the copies.
        trafficLog().warn("drain time passed with {} flows open", figures.localFlows);
        return figures.copied;
    }
    // Its buckets go to other agents, which is over when no packet comes any more.
    const bool quiet = now - std::max(m_path->lastInput(), m_drainStart) >= detail::quietTime;
    return quiet && figures.localFlows == 0;
}

void AgentTraffic::checkDrained()
{
    if (hasDrained()) {
        m_drained();
        return;
    }
    m_drainTimer->expires_after(detail::drainPollInterval);
    m_drainTimer->async_wait([this](const asio::error_code &error) {
        if (!error) {
            checkDrained();
        }
    });
}

void AgentTraffic::stop()
{
    m_timer.reset();
    m_drainTimer.reset();
    if (m_path) {
        m_path->stop();
    }
}

} // namespace oriolelever
