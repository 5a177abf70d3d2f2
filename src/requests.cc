#include "oriolelever/requests.h"

#include <algorithm>

#include <asio/post.hpp>
#include <asio/steady_timer.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>

#include "oriolelever/levels.h"
#include "oriolelever/metrics.h"
#include "oriolelever/records.h"

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds metricsInterval{500};

// Splits at commas; empty parts are dropped.
std::vector<std::string> splitPaths(const std::string &text)
{
    std::vector<std::string> paths;
    std::size_t begin = 0;
    while (begin <= text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        if (end > begin) {
            paths.push_back(text.substr(begin, end - begin));
        }
        begin = end + 1;
    }
    return paths;
}

// Status of the gate as Prometheus metrics.
struct RequestMetrics
{
    explicit RequestMetrics(prometheus::Registry &registry)
        : outcomes(prometheus::BuildCounter()
                       .Name("oriolelever_requests_total")
                       .Help("Requests by outcome.")
                       .Register(registry))
        , events(prometheus::BuildCounter()
                     .Name("oriolelever_request_events_total")
                     .Help("Retries, hedges, handovers and faulty answers.")
                     .Register(registry))
        , gauges(prometheus::BuildGauge()
                     .Name("oriolelever_request_gate")
                     .Help("Running and waiting requests, the limit, connections and claims.")
                     .Register(registry))
    {
    }

    // Raises a counter to the total `value`.
    static void setCounter(prometheus::Family<prometheus::Counter> &family, const std::string &label,
                           const std::string &name, std::uint64_t value)
    {
        auto &counter = family.Add({{label, name}});
        counter.Increment(static_cast<double>(value) - counter.Value());
    }

    void update(const RequestsStatus &status)
    {
        setCounter(outcomes, "outcome", "answered", status.gate.answered);
        setCounter(outcomes, "outcome", "refused-not-run", status.gate.refused);
        setCounter(outcomes, "outcome", "outcome-unknown", status.gate.unknown);
        setCounter(outcomes, "outcome", "cancelled", status.gate.cancelled);
        setCounter(events, "event", "retry", status.gate.retries);
        setCounter(events, "event", "hedge", status.gate.hedges);
        setCounter(events, "event", "handover", status.gate.handovers);
        setCounter(events, "event", "handover-taken", status.handoversAccepted);
        setCounter(events, "event", "broken-answer", status.gate.brokenAnswers);
        setCounter(events, "event", "late-answer", status.gate.lateAnswers);
        setCounter(events, "event", "crossed-answer", status.upstream.crossed);
        setCounter(events, "event", "silent-connection", status.upstream.silent);
        gauges.Add({{"value", "running"}}).Set(status.running);
        gauges.Add({{"value", "limit"}}).Set(status.limit);
        gauges.Add({{"value", "waiting"}}).Set(static_cast<double>(status.waiting));
        gauges.Add({{"value", "connections"}}).Set(static_cast<double>(status.connections));
        gauges.Add({{"value", "claims"}}).Set(static_cast<double>(status.claims));
    }

    prometheus::Family<prometheus::Counter> &outcomes;
    prometheus::Family<prometheus::Counter> &events;
    prometheus::Family<prometheus::Gauge> &gauges;
};

} // namespace

RequestsOptions requestsOptions(const Settings &settings, Incarnation incarnation)
{
    RequestsOptions options;
    options.self = {settings.text("process", "name"), incarnation};
    options.front.listen = settings.address("requests", "listen");
    options.front.maxConnectionsPerCaller = settings.count("requests", "caller_connection_limit");
    options.front.maxBodyBytes = settings.count("requests", "max_body_bytes");
    options.front.readTimeout = settings.time("requests", "read_limit_ms");
    const auto connections = settings.count("server", "connection_limit");
    options.front.maxConnections = connections == 0 ? options.front.maxConnections : connections;
    const auto slots = settings.count("server", "slot_limit");
    options.gate.limiter.slots = slots == 0 ? options.gate.limiter.slots : static_cast<std::uint32_t>(slots);
    options.gate.queue.capacity = settings.count("requests", "queue_limit");
    options.gate.queue.callerCapacity = settings.count("requests", "caller_queue_limit");
    options.upstream.server = settings.address("server", "requests");
    options.claims.window = settings.time("requests", "claim_window_ms");
    options.claims.clockTolerance = settings.time("requests", "clock_tolerance_ms");
    options.handover = controlStreamsOptions(settings);
    options.handover.listen = settings.address("requests", "handover");
    options.urgentPaths = splitPaths(settings.text("requests", "urgent_paths"));
    options.linger = settings.time("requests", "linger_ms");
    return options;
}

std::vector<RequestPeer> peersFrom(const ClusterView &view, const std::string &service,
                                   const std::string &self)
{
    std::vector<RequestPeer> peers;
    for (const auto &[name, entry] : view.nodes) {
        const auto &node = entry.announcement;
        if (node.role != NodeRole::Agent || node.service != service || name == self) {
            continue;
        }
        const bool ready = node.state == NodeState::Ready || node.state == NodeState::Cold;
        const auto serverRow = view.serverRows.find(name);
        const bool drained = serverRow != view.serverRows.end() && serverRow->second.row.drain;
        const bool accepts = ready && !drained && !isZoneOut(view, node.zone);
        peers.push_back({{name, node.incarnation}, node.handover, accepts});
    }
    return peers;
}

struct Requests::State
{
    State(const Settings &settings, Incarnation incarnation)
        : name(settings.text("process", "name"))
        , service(settings.text("server", "service"))
        , slots(static_cast<std::uint32_t>(settings.count("server", "slot_limit")))
        , runner(requestsOptions(settings, incarnation))
    {
    }

    void applyView();
    void scheduleMetricsUpdate();

    std::string name;
    std::string service;
    std::uint32_t slots = 0; ///< From the settings; 0 means the service's limit.
    RequestRunner runner;
    Kernel *kernel = nullptr;
    Records *records = nullptr;
    std::unique_ptr<RequestMetrics> metrics;
    std::unique_ptr<asio::steady_timer> timer;
};

void Requests::State::applyView()
{
    const auto &view = records->view();
    const auto row = view.services.find(service);
    if (row == view.services.end()) {
        // Without the rows of the services the view has no complete list of this service's agents yet.
        return;
    }
    runner.setPeers(peersFrom(view, service, name));
    const auto &limits = row->second.row;
    runner.setLimits(slots == 0 ? limits.slotLimit : slots, limits.deadline, limits.rampTime);
}

void Requests::State::scheduleMetricsUpdate()
{
    timer->expires_after(metricsInterval);
    timer->async_wait([this](const asio::error_code &error) {
        if (error) {
            return;
        }
        metrics->update(runner.status());
        scheduleMetricsUpdate();
    });
}

Requests::Requests(const Settings &settings, Incarnation incarnation)
    : m_state(std::make_shared<State>(settings, incarnation))
{
}

Requests::~Requests() = default;

Result<void> Requests::start(Kernel &kernel)
{
    m_state->kernel = &kernel;
    if (auto *const levels = kernel.tryFind<ServiceLevels>("levels")) {
        m_state->runner.onFinished([levels](Code outcome, Duration took) { levels->record(outcome, took); });
    }
    BOOST_LEAF_CHECK(m_state->runner.start());
    m_state->records = kernel.tryFind<Records>("records");
    if (m_state->records != nullptr) {
        m_state->applyView();
        m_state->records->subscribe([state = m_state](const std::vector<Record> &) { state->applyView(); });
    }
    auto *const metrics = kernel.tryFind<Metrics>("metrics");
    if (metrics != nullptr) {
        m_state->metrics = std::make_unique<RequestMetrics>(metrics->registry());
        m_state->timer = std::make_unique<asio::steady_timer>(kernel.control());
        m_state->scheduleMetricsUpdate();
    }
    return {};
}

void Requests::beginDrain()
{
    m_state->runner.drain([] {});
}

void Requests::drain(std::function<void()> done)
{
    auto &control = m_state->kernel->control();
    m_state->runner.drain([&control, done = std::move(done)] { asio::post(control, done); });
}

void Requests::stop()
{
    if (m_state->timer != nullptr) {
        m_state->timer->cancel();
    }
    m_state->runner.stop();
}

Endpoint Requests::listenEndpoint() const
{
    return m_state->runner.listenEndpoint();
}

Endpoint Requests::handoverEndpoint() const
{
    return m_state->runner.handoverEndpoint();
}

} // namespace oriolelever
