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

constexpr double readyWarmth = 0.99; ///< From this warmth on a server is announced as ready.
constexpr double coldWarmth = 0.5; ///< Below this warmth a server is announced as cold.

nlohmann::json statusOf(const AgentPath &path)
{
    const auto pathStatus = path.status();
    nlohmann::json status{{"local_flows", pathStatus.localFlows},
                          {"flow_limit", pathStatus.flowLimit},
                          {"known_flows", pathStatus.knownFlows},
                          {"held_packets", pathStatus.heldPackets},
                          {"owned_buckets", pathStatus.ownedBuckets},
                          {"granted_buckets", pathStatus.grantedBuckets},
                          {"warmth", pathStatus.warmth}};
    detail::addCounters(status, path.counters());
    return status;
}

} // namespace

AgentTraffic::AgentTraffic(const Settings &settings, Incarnation incarnation)
    : m_serviceName(settings.text("server", "service"))
    , m_zoneName(settings.text("process", "zone"))
    , m_tunDevice(settings.text("data", "tun"))
    , m_serverEndpoint(settings.address("server", "packets"))
    , m_key(settings.text("control", "key"))
    , m_previousKey(settings.text("control", "previous_key"))
{
    m_options.listen = settings.address("data", "listen");
    m_options.returnEndpoint = settings.address("data", "return");
    m_options.mtu = static_cast<std::uint16_t>(settings.count("data", "mtu"));
    m_options.directory.self = idOf<ServerId>(settings.text("process", "name"));
    m_options.directory.service = idOf<ServiceId>(m_serviceName);
    m_options.directory.incarnation = incarnation;
    m_options.directory.seed = incarnation;
}

AgentTraffic::~AgentTraffic() = default;

Result<std::unique_ptr<Delivery>> AgentTraffic::makeDelivery() const
{
    if (!m_tunDevice.empty()) {
        return makeTunDelivery({.device = m_tunDevice, .mtu = m_options.mtu});
    }
    return makeSocketDelivery({.server = m_serverEndpoint, .mtu = m_options.mtu});
}

Result<void> AgentTraffic::start(Kernel &kernel)
{
    BOOST_LEAF_ASSIGN(m_options.keys, parseTagKeys(m_key, m_previousKey));
    BOOST_LEAF_AUTO(delivery, makeDelivery());
    m_path = std::make_unique<AgentPath>(m_options, std::move(delivery));
    BOOST_LEAF_CHECK(m_path->start());
    trafficLog().info("listening for packets on {}", toString(m_path->local()));
    m_records = &kernel.find<Records>("records");
    m_records->subscribe([this](const std::vector<Record> &changed) { handleRecords(changed); });
    handleRecords(detail::recordKeysOf(m_records->view()));
    m_node = kernel.tryFind<Node>("node");
    if (auto *const metrics = kernel.tryFind<Metrics>("metrics")) {
        m_metrics = std::make_unique<PathMetrics>(*metrics);
    }
    if (auto *const admin = kernel.tryFind<Admin>("admin")) {
        admin->addStatus("traffic", [this] { return statusOf(*m_path); });
    }
    m_timer = std::make_unique<asio::steady_timer>(kernel.control());
    m_drainTimer = std::make_unique<asio::steady_timer>(kernel.control());
    handleTimer();
    return {};
}

void AgentTraffic::handleRecords(const std::vector<Record> &changed)
{
    const auto &view = m_records->view();
    const auto routing = updateRouting(m_builder, view, changed, std::chrono::steady_clock::now());
    const auto service = view.services.find(m_serviceName);
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

void AgentTraffic::handleTimer()
{
    if (m_metrics) {
        m_metrics->update([this](const auto &visit) { visit(m_path->counters()); });
    }
    if (m_node != nullptr) {
        m_node->setState(stateFor(m_path->status().warmth, m_node->announcement().state));
    }
    m_timer->expires_after(detail::metricsInterval);
    m_timer->async_wait([this](const asio::error_code &error) {
        if (!error) {
            handleTimer();
        }
    });
}

NodeState AgentTraffic::stateFor(double warmth, NodeState current)
{
    if (warmth >= readyWarmth) {
        return NodeState::Ready;
    }
    return warmth < coldWarmth ? NodeState::Cold : current;
}

void AgentTraffic::addSample(const AnswerSample &sample)
{
    m_path->addSample(sample);
}

void AgentTraffic::drain(std::function<void()> done)
{
    m_onDrained = std::move(done);
    m_drainStart = std::chrono::steady_clock::now();
    checkDrained();
}

bool AgentTraffic::hasDrained() const
{
    const auto now = std::chrono::steady_clock::now();
    const auto &view = m_records->view();
    const auto service = view.services.find(m_serviceName);
    if (service == view.services.end() || isZoneOut(view, m_zoneName)) {
        return true;
    }
    const auto pathStatus = m_path->status();
    if (now - m_drainStart >= service->second.row.drainTime) {
        // The backend server keeps the remaining flows; the next agent gets them from the replicas.
        trafficLog().warn("drain time has passed; {} flows are still open", pathStatus.localFlows);
        return pathStatus.localFlowsReplicated;
    }
    // Packets stop once all balancers route this agent's buckets to other agents.
    const bool quiet = now - std::max(m_path->lastReceiveTime(), m_drainStart) >= detail::drainQuietTime;
    return quiet && pathStatus.localFlows == 0;
}

void AgentTraffic::checkDrained()
{
    if (hasDrained()) {
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

void AgentTraffic::stop()
{
    m_timer.reset();
    m_drainTimer.reset();
    if (m_path) {
        m_path->stop();
    }
}

} // namespace oriolelever
