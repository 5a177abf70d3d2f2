#include "soak-callers.h"

#include "oriolelever/clock.h"
#include "soak-payload.h"
#include "standin-wire.h"

namespace oriolelever::lab {

namespace {

using namespace platform::standin;
using std::chrono::milliseconds;

constexpr milliseconds tickPeriod{10};
// Callers repeat an opening packet after these times and give up after the last.
constexpr std::array<milliseconds, 2> openingCopies{milliseconds(200), milliseconds(600)};
constexpr milliseconds openingLimit{1400};
constexpr milliseconds firstCopyPause{200}; ///< Of a request; doubles.
constexpr milliseconds longestCopyPause{1600};

} // namespace

SoakCallers::SoakCallers(asio::io_context &context, SoakLedger &ledger, const SoakRouter &router,
                         CallerOptions options, Links links, std::uint64_t seed)
    : m_context(context)
    , m_ledger(ledger)
    , m_router(router)
    , m_options(std::move(options))
    , m_links(std::move(links))
    , m_random(seed)
    , m_timer(context)
{
}

Result<void> SoakCallers::open()
{
    const auto handler = [this](std::span<std::uint8_t> bytes, const Endpoint &from) {
        onDatagram(bytes, from.address);
    };
    for (const auto &site : m_options.sites) {
        Site opened{.fromBalancers = std::make_unique<PacketPort>(m_context),
                    .fromAgents = std::make_unique<PacketPort>(m_context)};
        BOOST_LEAF_CHECK(opened.fromBalancers->open({site.address, m_options.balancerPort}, handler));
        BOOST_LEAF_CHECK(opened.fromAgents->open({site.address, m_options.agentPort}, handler));
        m_sites.push_back(std::move(opened));
    }
    return {};
}

void SoakCallers::start()
{
    m_lastTick = steadyNow();
    scheduleTick();
}

void SoakCallers::stop()
{
    m_stopped = true;
}

milliseconds SoakCallers::between(std::int64_t least, std::int64_t most)
{
    return milliseconds(least
                        + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(most - least)));
}

void SoakCallers::scheduleTick()
{
    m_timer.expires_after(tickPeriod);
    m_timer.async_wait([this](const asio::error_code &error) {
        if (!error) {
            tick();
            scheduleTick();
        }
    });
}

void SoakCallers::tick()
{
    const auto now = steadyNow();
    const auto passed = std::chrono::duration<double>(now - m_lastTick).count();
    m_lastTick = now;
    for (auto flow = m_flows.begin(); flow != m_flows.end();) {
        if (advance(flow->first, flow->second, now)) {
            ++flow;
            continue;
        }
        m_longFlows -= flow->second.isLong ? 1 : 0;
        flow = m_flows.erase(flow);
    }
    if (m_stopped) {
        return;
    }
    // One long flow a tick: all at once would be a burst of its own.
    if (m_longFlows < m_options.longFlows) {
        begin(true, now);
    }
    m_shortDebt += passed * m_options.shortFlowsPerSecond;
    while (m_shortDebt >= 1) {
        m_shortDebt -= 1;
        begin(false, now);
    }
}

void SoakCallers::begin(bool isLong, TimePoint now)
{
    constexpr std::uint16_t firstPort = 1024;
    const auto site = m_random() % m_options.sites.size();
    const FlowKey key{.caller = {m_options.sites[site].address, m_nextPort},
                      .service = m_options.services[m_random() % m_options.services.size()]};
    m_nextPort = m_nextPort == UINT16_MAX ? firstPort : m_nextPort + 1;
    const auto [found, isNew] = m_flows.try_emplace(key);
    if (!isNew) {
        return;
    }
    auto &flow = found->second;
    flow = {.site = site,
            .isLong = isLong,
            .sequence = static_cast<std::uint32_t>(m_random()),
            .began = now,
            .closesAt = now + between(5000, 40'000)};
    m_longFlows += isLong ? 1 : 0;
    m_ledger.openingSent(key, now);
    send(key, flow, {.syn = true, .sequence = flow.sequence});
}

bool SoakCallers::advance(const FlowKey &key, Flow &flow, TimePoint now)
{
    if (!flow.isOpen) {
        const auto waited = now - flow.began;
        if (waited > openingLimit) {
            ++m_figures.openingsIgnored;
            const auto *balancer = m_router.route(key, m_options.sites[flow.site].zone);
            m_ledger.openingIgnored(key, balancer == nullptr ? std::string() : balancer->name, now);
            return false;
        }
        const auto copies = static_cast<std::size_t>(flow.copies);
        if (copies < openingCopies.size() && waited > openingCopies[copies]) {
            ++flow.copies;
            send(key, flow,
                 {.syn = true,
                  .sequence = flow.sequence,
                  .acknowledgement = static_cast<std::uint32_t>(flow.copies)});
        }
        return true;
    }
    if (flow.number != 0) {
        if (now - flow.requested > m_options.deadline) {
            ++m_figures.requestsUnanswered;
            close(key, flow);
            return false;
        }
        if (now >= flow.nextCopy) {
            flow.copyPause = std::min(flow.copyPause * 2, longestCopyPause);
            flow.nextCopy = now + flow.copyPause;
            sendRequest(key, flow);
        }
        return true;
    }
    if (!flow.isLong || now >= flow.closesAt || m_stopped) {
        close(key, flow);
        return false;
    }
    if (now >= flow.nextRequest) {
        flow.number = m_nextNumber++;
        flow.requested = now;
        flow.copyPause = firstCopyPause;
        flow.nextCopy = now + firstCopyPause;
        ++m_figures.requestsSent;
        sendRequest(key, flow);
    }
    return true;
}

void SoakCallers::sendRequest(const FlowKey &key, Flow &flow)
{
    send(key, flow, {.ack = true, .sequence = flow.sequence, .acknowledgement = flow.acknowledgement},
         writeRequest(flow.number));
}

void SoakCallers::close(const FlowKey &key, const Flow &flow)
{
    m_ledger.flowClosed(key);
    send(key, flow,
         {.ack = true, .fin = true, .sequence = flow.sequence, .acknowledgement = flow.acknowledgement});
}

void SoakCallers::send(const FlowKey &key, const Flow &flow, const Segment &header,
                       std::span<const std::uint8_t> payload)
{
    const auto *balancer = m_router.route(key, m_options.sites[flow.site].zone);
    if (balancer == nullptr) {
        return;
    }
    auto whole = header;
    whole.source = key.caller;
    whole.destination = key.service;
    const auto packet = writePacket(whole, payload);
    auto &port = *m_sites[flow.site].fromAgents;
    port.send(packet, balancer->packets);
    port.flush();
}

void SoakCallers::onDatagram(std::span<std::uint8_t> bytes, const IpAddress &from)
{
    const auto sender = m_links.nameOf(from);
    if (sender.empty()) {
        return;
    }
    const auto delay = m_links.passage(sender);
    if (!delay) {
        return;
    }
    if (*delay == milliseconds::zero()) {
        take(bytes, sender);
        return;
    }
    auto timer = std::make_shared<asio::steady_timer>(m_context, *delay);
    timer->async_wait([this, timer, sender, copy = std::vector<std::uint8_t>(bytes.begin(), bytes.end())](
                          const asio::error_code &error) {
        if (!error) {
            take(copy, sender);
        }
    });
}

void SoakCallers::take(std::span<const std::uint8_t> bytes, const std::string &sender)
{
    static const auto format = packetFormat();
    const auto now = steadyNow();
    Segment segment;
    const bool readable = format.parse(bytes, segment);
    const auto key = flowFromServer(segment);
    if (!readable || (!hasValidChecksum(bytes) && !isSystemReset(bytes, segment))) {
        m_ledger.answerArrived(key, false, now);
        return;
    }
    const auto found = m_flows.find(key);
    if (found == m_flows.end()) {
        return;
    }
    auto &flow = found->second;
    if (isSystemReset(bytes, segment)) {
        m_figures.flowsReset += flow.isOpen ? 1 : 0;
        m_figures.openingsRefused += flow.isOpen ? 0 : 1;
        m_figures.requestsUnanswered += flow.number != 0 ? 1 : 0;
        m_ledger.resetArrived(key, sender, now);
        m_longFlows -= flow.isLong ? 1 : 0;
        m_flows.erase(found);
        return;
    }
    if (segment.syn && segment.ack) {
        if (!flow.isOpen) {
            flow.isOpen = true;
            flow.sequence += 1;
            flow.acknowledgement = segment.sequence + 1;
            flow.nextRequest = now;
            ++m_figures.flowsOpened;
        }
        return;
    }
    if (segment.payloadSize > 0) {
        takeAnswer(key, flow, segment, bytes);
    }
}

void SoakCallers::takeAnswer(const FlowKey &key, Flow &flow, const Segment &segment,
                             std::span<const std::uint8_t> bytes)
{
    const auto now = steadyNow();
    std::uint64_t flowHash = 0;
    std::uint32_t number = 0;
    const bool isOwn = readAnswer(payloadOf(bytes), flowHash, number) && flowHash == hashFlow(key)
        && number <= m_nextNumber;
    m_ledger.answerArrived(key, isOwn, now);
    if (!isOwn || number != flow.number) {
        return;
    }
    ++m_figures.requestsAnswered;
    flow.number = 0;
    flow.sequence = segment.acknowledgement;
    flow.acknowledgement = segment.sequence + static_cast<std::uint32_t>(segment.payloadSize);
    flow.nextRequest = now + between(100, 900);
    if (segment.fin) {
        flow.closesAt = now;
    }
}

} // namespace oriolelever::lab
