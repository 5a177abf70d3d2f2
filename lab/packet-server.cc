#include "packet-server.h"

#include <algorithm>
#include <array>

#include <poll.h>

namespace oriolelever::lab {

namespace {

constexpr std::size_t batchSize = 64;
constexpr std::size_t bufferSize = 4096;
constexpr int pollMillis = 50;
constexpr auto closingTime = std::chrono::seconds(5);
constexpr std::uint32_t initialSequence = 1000;
constexpr std::uint16_t serverMss = 1460;

} // namespace

WallSlot wallSlotOf(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()) / wallSlotTime;
}

std::uint64_t packetsSince(const PacketServerFigures &figures, std::chrono::system_clock::time_point time)
{
    std::uint64_t sum = 0;
    for (auto slot = figures.packetsBySlot.lower_bound(wallSlotOf(time) + 1);
         slot != figures.packetsBySlot.end(); ++slot) {
        sum += slot->second;
    }
    return sum;
}

PacketServer::PacketServer(PacketServerOptions options)
    : m_options(std::move(options))
    , m_receive(batchSize, bufferSize)
{
}

PacketServer::~PacketServer()
{
    stop();
}

Result<void> PacketServer::start()
{
    BOOST_LEAF_ASSIGN(m_socket, openDatagramSocket(m_options.listen));
    BOOST_LEAF_ASSIGN(m_wake, openWakeDescriptor());
    m_thread = std::thread([this] { loop(); });
    return {};
}

void PacketServer::stop()
{
    m_stopping = true;
    wake(m_wake);
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void PacketServer::forgetFlows()
{
    const std::lock_guard lock(m_mutex);
    m_flows.clear();
}

Endpoint PacketServer::local() const
{
    return localEndpoint(m_socket);
}

PacketServerFigures PacketServer::figures() const
{
    const std::lock_guard lock(m_mutex);
    auto figures = m_figures;
    for (const auto &[key, flow] : m_flows) {
        figures.flowsOpen += flow.closing ? 0 : 1;
    }
    return figures;
}

void PacketServer::loop()
{
    std::array<pollfd, 2> entries{{{.fd = m_socket.value(), .events = POLLIN, .revents = 0},
                                   {.fd = m_wake.value(), .events = POLLIN, .revents = 0}}};
    while (!m_stopping) {
        ::poll(entries.data(), entries.size(), pollMillis);
        const std::size_t count = m_receive.receive(m_socket);
        const std::lock_guard lock(m_mutex);
        for (std::size_t i = 0; i < count; ++i) {
            handle(m_receive.datagram(i), toEndpoint(m_receive.sender(i)));
        }
        sweep(std::chrono::steady_clock::now());
    }
}

void PacketServer::handle(std::span<const std::uint8_t> bytes, const Endpoint &agent)
{
    ++m_figures.packets;
    ++m_figures.packetsBySlot[wallSlotOf(std::chrono::system_clock::now())];
    ParsedPacket parsed;
    if (parsePacket(bytes, parsed) != PacketFault::None || !isTransportChecksumValid(bytes, parsed)) {
        ++m_figures.packetsMalformed;
        return;
    }
    if (parsed.flow.service != m_options.service || parsed.flow.protocol != m_options.protocol) {
        ++m_figures.packetsToWrongService;
        return;
    }
    if (parsed.isIcmpError) {
        return;
    }
    if (m_options.protocol == Protocol::Tcp) {
        handleTcp(parsed, agent);
    } else {
        handleUdp(parsed, agent);
    }
}

PacketServer::Flow &PacketServer::openFlow(const ParsedPacket &parsed)
{
    ++m_figures.flowsOpened;
    ++m_figures.flowsBySlot[wallSlotOf(std::chrono::system_clock::now())];
    auto &flow = m_flows[parsed.flow];
    flow = {.sequence = initialSequence, .expected = parsed.sequence + 1, .closing = false, .lastSeen = {}};
    m_figures.peakFlows = std::max(m_figures.peakFlows, m_flows.size());
    return flow;
}

void PacketServer::handleTcp(const ParsedPacket &parsed, const Endpoint &agent)
{
    auto known = m_flows.find(parsed.flow);
    if (parsed.isNewTcpFlow()) {
        // A repeated SYN must not lose the state of its flow.
        const bool repeated = known != m_flows.end() && known->second.expected == parsed.sequence + 1;
        auto &flow = repeated ? known->second : openFlow(parsed);
        flow.lastSeen = std::chrono::steady_clock::now();
        // The answer to the SYN has the name as data, so that the fabric knows the server from the start.
        const auto next = flow.sequence;
        flow.sequence = initialSequence;
        reply(parsed, flow, tcp::syn | tcp::ack, true, agent);
        flow.sequence = std::max(next, flow.sequence + 1);
        return;
    }
    if ((parsed.tcpFlags & tcp::rst) != 0) {
        m_flows.erase(parsed.flow);
        return;
    }
    if (known == m_flows.end()) {
        std::array<std::uint8_t, 128> reset{};
        const auto size = buildReset(reset, parsed);
        ++m_figures.resetsSent;
        send(std::span(reset).first(size), agent);
        return;
    }
    auto &flow = known->second;
    flow.lastSeen = std::chrono::steady_clock::now();
    const auto length = static_cast<std::uint32_t>(parsed.payloadSize());
    const bool ends = (parsed.tcpFlags & tcp::fin) != 0;
    if (length == 0 && !ends) {
        return;
    }
    if (parsed.sequence == flow.expected) {
        flow.expected += length + (ends ? 1 : 0);
    }
    flow.closing = flow.closing || ends;
    reply(parsed, flow, ends ? tcp::fin | tcp::ack : tcp::psh | tcp::ack, !ends, agent);
}

void PacketServer::handleUdp(const ParsedPacket &parsed, const Endpoint &agent)
{
    const auto known = m_flows.find(parsed.flow);
    auto &flow = known != m_flows.end() ? known->second : openFlow(parsed);
    flow.lastSeen = std::chrono::steady_clock::now();
    reply(parsed, flow, 0, true, agent);
}

void PacketServer::reply(const ParsedPacket &parsed, Flow &flow, std::uint8_t flags, bool named,
                         const Endpoint &agent)
{
    std::array<std::uint8_t, 512> packet{};
    PacketOptions options{.source = parsed.flow.service,
                          .destination = parsed.flow.caller,
                          .tcpFlags = flags,
                          .sequence = flow.sequence,
                          .acknowledgement = flow.expected,
                          .mss = (flags & tcp::syn) != 0 ? serverMss : std::uint16_t{0}};
    if (named) {
        options.payload
            = {reinterpret_cast<const std::uint8_t *>(m_options.name.data()), m_options.name.size()};
        flow.sequence += static_cast<std::uint32_t>(m_options.name.size());
    }
    const bool tcpFlow = m_options.protocol == Protocol::Tcp;
    const auto size = tcpFlow ? buildTcp(packet, options) : buildUdp(packet, options);
    if (m_options.answerTime.count() != 0) {
        std::this_thread::sleep_for(m_options.answerTime);
    }
    send(std::span(packet).first(size), agent);
}

void PacketServer::send(std::span<const std::uint8_t> bytes, const Endpoint &agent)
{
    SendBatch single(1);
    single.add(bytes, agent);
    single.flush(m_socket);
}

void PacketServer::sweep(TimePoint now)
{
    std::erase_if(m_flows, [now](const auto &entry) {
        return entry.second.closing && now - entry.second.lastSeen > closingTime;
    });
}

} // namespace oriolelever::lab
