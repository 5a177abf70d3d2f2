#include "fabric.h"

#include <algorithm>
#include <array>

#include <curl/curl.h>
#include <fmt/format.h>
#include <poll.h>

#include "oriolelever/gue.h"

namespace oriolelever::lab {

namespace {

constexpr std::size_t batchSize = 64;
constexpr std::size_t bufferSize = 4096;
constexpr int pollMillis = 2;
constexpr std::size_t maxFaults = 20;
constexpr std::uint32_t firstPort = 1024;
constexpr std::uint32_t portsOfCaller = 60'000;
constexpr std::uint32_t firstSequence = 7000;
constexpr long healthTimeoutMillis = 500;
constexpr long httpOk = 200;

// Callers have addresses of 198.18.0.0/15 or 2001:db8::/32, as their service has.
Endpoint callerAddress(std::uint32_t number, bool v4)
{
    Endpoint endpoint;
    parseIpAddress(v4 ? "198.18.0.1" : "2001:db8::1", endpoint.address);
    const std::uint32_t host = number / portsOfCaller;
    endpoint.address.bytes[14] = static_cast<std::uint8_t>(host >> 8);
    endpoint.address.bytes[15] = static_cast<std::uint8_t>(1 + host);
    endpoint.port = static_cast<std::uint16_t>(firstPort + number % portsOfCaller);
    return endpoint;
}

bool isHealthy(const Endpoint &admin)
{
    CURL *const handle = curl_easy_init();
    const auto url = fmt::format("http://{}/health", toString(admin));
    curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
    curl_easy_setopt(handle, CURLOPT_NOBODY, 0L);
    curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, healthTimeoutMillis);
    curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(
        handle, CURLOPT_WRITEFUNCTION,
        +[](char *, std::size_t size, std::size_t count, void *) { return size * count; });
    long status = 0;
    const bool answered = curl_easy_perform(handle) == CURLE_OK;
    curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(handle);
    return answered && status == httpOk;
}

} // namespace

Fabric::Fabric(FabricOptions options)
    : m_options(std::move(options))
    , m_receive(batchSize, bufferSize)
    , m_random(m_options.seed)
    , m_buffer(bufferSize)
    , m_balancers(m_options.balancers)
    , m_healthy(m_balancers.size(), true)
{
}

Fabric::~Fabric()
{
    stop();
}

Result<void> Fabric::start()
{
    BOOST_LEAF_ASSIGN(m_socket, openDatagramSocket(m_options.listen));
    m_nextFlow = std::chrono::steady_clock::now();
    m_thread = std::thread([this] { loop(); });
    m_healthThread = std::thread([this] { healthLoop(); });
    return {};
}

void Fabric::finish(std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    {
        const std::lock_guard lock(m_mutex);
        m_finishing = true;
        for (auto &[key, flow] : m_flows) {
            flow.endsAt = {};
        }
    }
    while (std::chrono::steady_clock::now() < deadline) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_flows.empty()) {
                return;
            }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
}

void Fabric::stop()
{
    m_stopping = true;
    if (m_thread.joinable()) {
        m_thread.join();
    }
    if (m_healthThread.joinable()) {
        m_healthThread.join();
    }
}

void Fabric::setBalancers(std::vector<FabricBalancer> balancers)
{
    const std::lock_guard lock(m_mutex);
    m_balancers = std::move(balancers);
    m_healthy.assign(m_balancers.size(), true);
}

void Fabric::setServerZone(const std::string &server, const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    m_zoneOf[server] = zone;
}

void Fabric::markZoneOut(const std::string &zone)
{
    const std::lock_guard lock(m_mutex);
    m_zonesOut.insert(zone);
}

void Fabric::markServerDead(const std::string &server)
{
    const std::lock_guard lock(m_mutex);
    m_deadServers.insert(server);
}

Endpoint Fabric::local() const
{
    return localEndpoint(m_socket);
}

FabricFigures Fabric::figures() const
{
    const std::lock_guard lock(m_mutex);
    auto figures = m_figures;
    figures.flowsOpen = m_flows.size();
    for (const auto &[key, flow] : m_flows) {
        if (flow.state == FlowState::Open && !flow.server.empty()) {
            ++figures.openByServer[flow.server];
        }
    }
    return figures;
}

void Fabric::loop()
{
    pollfd entry{.fd = m_socket.value(), .events = POLLIN, .revents = 0};
    while (!m_stopping) {
        ::poll(&entry, 1, pollMillis);
        const std::lock_guard lock(m_mutex);
        const auto now = std::chrono::steady_clock::now();
        receive(now);
        runTimers(now);
        openFlows(now);
    }
}

void Fabric::healthLoop()
{
    while (!m_stopping) {
        std::vector<FabricBalancer> balancers;
        {
            const std::lock_guard lock(m_mutex);
            balancers = m_balancers;
        }
        std::vector<bool> healthy;
        for (const auto &balancer : balancers) {
            healthy.push_back(balancer.admin.port == 0 || isHealthy(balancer.admin));
        }
        {
            const std::lock_guard lock(m_mutex);
            if (healthy.size() == m_balancers.size()) {
                m_healthy = std::move(healthy);
            }
        }
        std::this_thread::sleep_for(m_options.healthInterval);
    }
}

void Fabric::openFlows(TimePoint now)
{
    if (m_options.services.empty() || m_options.flowsPerSecond <= 0) {
        return;
    }
    const auto gap
        = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / m_options.flowsPerSecond));
    while (!m_finishing && m_nextFlow <= now) {
        m_nextFlow += gap;
        if (m_flows.size() < m_options.maxFlows) {
            openFlow(now);
        }
    }
}

void Fabric::openFlow(TimePoint now)
{
    const std::size_t index = m_random() % m_options.services.size();
    const auto &service = m_options.services[index];
    const FlowKey key{.caller = callerAddress(m_nextCaller++, service.address.address.isV4()),
                      .service = service.address,
                      .protocol = service.protocol};
    auto &flow = m_flows[key];
    flow = {.service = index, .key = key, .sequence = firstSequence, .lastAnswer = now};
    const auto life = m_options.flowTime * (0.5 + static_cast<double>(m_random() % 1000) / 1000.0);
    const bool lasting = static_cast<double>(m_random() % 1000) < 1000 * m_options.longFlowShare;
    flow.endsAt = lasting ? TimePoint::max() : now + std::chrono::duration_cast<Duration>(life);
    sendNext(flow, now);
}

void Fabric::runTimers(TimePoint now)
{
    while (!m_timers.empty() && m_timers.top().at <= now) {
        const auto timer = m_timers.top();
        m_timers.pop();
        const auto found = m_flows.find(timer.key);
        if (found == m_flows.end() || found->second.turn != timer.turn) {
            continue;
        }
        onTimer(found->second, now);
    }
}

void Fabric::onTimer(Flow &flow, TimePoint now)
{
    if (!flow.underWay) {
        sendNext(flow, now);
        return;
    }
    if (now - flow.lastAnswer >= m_options.patience) {
        giveUp(flow.key, "no answer");
        return;
    }
    ++m_figures.packetsRepeated;
    flow.wait = std::min(flow.wait * 2, m_options.retryMax);
    sendPacket(flow, now);
}

// Makes the flow's next packet the one under way.
void Fabric::sendNext(Flow &flow, TimePoint now)
{
    const bool tcpFlow = flow.key.protocol == Protocol::Tcp;
    if (flow.state == FlowState::Open && now >= flow.endsAt) {
        if (!tcpFlow) {
            endFlow(flow.key);
            return;
        }
        flow.state = FlowState::Ending;
    }
    const bool carriesData = flow.state == FlowState::Open && tcpFlow;
    flow.awaited = flow.sequence + (carriesData ? static_cast<std::uint32_t>(m_options.payloadSize) : 1);
    flow.underWay = true;
    flow.wait = m_options.retryTime;
    flow.lastAnswer = now;
    sendPacket(flow, now);
}

void Fabric::sendPacket(Flow &flow, TimePoint now)
{
    const auto room = std::span(m_buffer).subspan(maxGueHeaderSize);
    const auto size = buildPacket(flow, room);
    spray(room.first(size));
    schedule(flow, now + flow.wait);
}

std::size_t Fabric::buildPacket(const Flow &flow, std::span<std::uint8_t> out)
{
    const std::vector<std::uint8_t> payload(m_options.payloadSize, 'd');
    PacketOptions options{.source = flow.key.caller,
                          .destination = flow.key.service,
                          .sequence = flow.sequence,
                          .acknowledgement = flow.acknowledged};
    if (flow.key.protocol == Protocol::Udp) {
        options.payload = payload;
        return buildUdp(out, options);
    }
    switch (flow.state) {
    case FlowState::Opening:
        options.tcpFlags = tcp::syn;
        options.mss = 1460;
        break;
    case FlowState::Open:
        options.tcpFlags = tcp::ack | tcp::psh;
        options.payload = payload;
        break;
    case FlowState::Ending:
        options.tcpFlags = tcp::ack | tcp::fin;
        break;
    }
    return buildTcp(out, options);
}

void Fabric::spray(std::span<std::uint8_t> packet)
{
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < m_balancers.size(); ++i) {
        if (m_healthy[i]) {
            usable.push_back(i);
        }
    }
    if (usable.empty()) {
        return;
    }
    const auto &balancer = m_balancers[usable[m_random() % usable.size()]];
    SendBatch single(1);
    single.add(prependPlainGue(packet), balancer.data);
    single.flush(m_socket);
    ++m_figures.packetsSent;
}

void Fabric::schedule(Flow &flow, TimePoint at)
{
    m_timers.push({.at = at, .key = flow.key, .turn = ++flow.turn});
}

void Fabric::receive(TimePoint now)
{
    for (;;) {
        const std::size_t count = m_receive.receive(m_socket);
        for (std::size_t i = 0; i < count; ++i) {
            handleAnswer(m_receive.datagram(i), now);
        }
        if (count < batchSize) {
            return;
        }
    }
}

void Fabric::handleAnswer(std::span<std::uint8_t> datagram, TimePoint now)
{
    GuePacket outer;
    ParsedPacket parsed;
    if (decodePlainGue(datagram, outer) != GueFault::None
        || parsePacket(outer.payload, parsed) != PacketFault::None
        || !isTransportChecksumValid(outer.payload, parsed)) {
        ++m_figures.answersMalformed;
        return;
    }
    const auto found = m_flows.find(reversed(parsed.flow));
    if (found == m_flows.end() || parsed.isIcmpError) {
        return;
    }
    const auto bytes = outer.payload.subspan(parsed.payloadOffset);
    const std::string_view payload(reinterpret_cast<const char *>(bytes.data()), bytes.size());
    auto &flow = found->second;
    if (flow.key.protocol == Protocol::Tcp) {
        handleTcpAnswer(flow, parsed, payload, now);
        return;
    }
    noteServer(flow, payload, now);
}

void Fabric::handleTcpAnswer(Flow &flow, const ParsedPacket &parsed, std::string_view payload, TimePoint now)
{
    if ((parsed.tcpFlags & tcp::rst) != 0) {
        giveUp(flow.key, "reset");
        return;
    }
    const bool opening = (parsed.tcpFlags & tcp::syn) != 0;
    if (opening != (flow.state == FlowState::Opening) || parsed.acknowledgement != flow.awaited) {
        return;
    }
    const bool ends = (parsed.tcpFlags & tcp::fin) != 0;
    flow.acknowledged
        = parsed.sequence + static_cast<std::uint32_t>(payload.size()) + (opening || ends ? 1 : 0);
    flow.sequence = flow.awaited;
    if (flow.state == FlowState::Ending) {
        endFlow(flow.key);
        return;
    }
    noteServer(flow, payload, now);
}

// A whole answer of a server to the packet under way.
void Fabric::noteServer(Flow &flow, std::string_view server, TimePoint now)
{
    if (flow.state == FlowState::Opening) {
        ++m_figures.flowsOpened;
        flow.state = FlowState::Open;
    }
    if (flow.server.empty()) {
        flow.server = server;
    }
    if (flow.server != server) {
        giveUp(flow.key, fmt::format("answered by {}", server));
        return;
    }
    if (!flow.underWay) {
        return;
    }
    ++m_figures.packetsAnswered;
    flow.underWay = false;
    flow.lastAnswer = now;
    schedule(flow, now + m_options.packetGap);
}

bool Fabric::isZoneOut(const std::string &server) const
{
    const auto zone = m_zoneOf.find(server);
    return zone != m_zoneOf.end() && m_zonesOut.contains(zone->second);
}

namespace {

// Milliseconds since 1970, as the marks of a run have them.
std::int64_t wallMillisNow()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

} // namespace

void Fabric::giveUp(FlowKey key, const std::string &fault)
{
    const auto found = m_flows.find(key);
    const auto &flow = found->second;
    if (flow.state == FlowState::Opening) {
        ++(fault == "reset" ? m_figures.flowsRefused : m_figures.flowsUnanswered);
    } else if (isZoneOut(flow.server)) {
        ++m_figures.flowsGivenUpWithZone;
    } else if (m_deadServers.contains(flow.server)) {
        ++m_figures.flowsLostWithServer;
    } else {
        ++m_figures.flowsBroken;
        if (m_figures.faults.size() < maxFaults) {
            m_figures.faults.push_back(fmt::format("at {}: flow {} of server \"{}\": {}", wallMillisNow(),
                                                   toString(key.caller), flow.server, fault));
        }
    }
    m_flows.erase(found);
}

void Fabric::endFlow(FlowKey key)
{
    ++m_figures.flowsEnded;
    m_flows.erase(key);
}

} // namespace oriolelever::lab
