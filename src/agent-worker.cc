#include "agent-worker.h"

#include <algorithm>

#include <poll.h>

#include "oriolelever/directory-codec.h"

namespace oriolelever {

namespace {

constexpr std::size_t batchSize = 64; ///< Datagrams.
constexpr std::size_t batchesBeforePoll = 8;
constexpr std::size_t bufferSlack
    = 128; ///< Bytes beyond the MTU, so that longer packets are seen to be longer.
constexpr std::size_t scratchSlots = 64;
constexpr std::size_t scratchSize = 2048; ///< Bytes of one slot, headroom included.
constexpr auto tickInterval = std::chrono::milliseconds(10);
constexpr auto figuresInterval = std::chrono::milliseconds(100);
constexpr auto tellInterval = std::chrono::milliseconds(100); ///< Between notices to one sender.
constexpr std::size_t minMtuV6 = 1280;

std::size_t heldStride(const AgentPathOptions &options)
{
    return ReceiveBatch::headroom + options.mtu + bufferSlack;
}

} // namespace

AgentPath::Worker::Worker(const AgentPathOptions &options, FileDescriptor socket, FileDescriptor wakeUp,
                          Delivery &delivery)
    : m_options(options)
    , m_socket(std::move(socket))
    , m_wake(std::move(wakeUp))
    , m_delivery(delivery)
    , m_receive(batchSize, options.mtu + bufferSlack)
    , m_send(batchSize)
    , m_mtuIn(options.mtu - outerOverhead(!options.listen.address.isV4(), true, options.keys))
    , m_mtuOut(options.mtu - outerOverhead(!options.returnTo.address.isV4(), false, options.keys))
    , m_scratch(scratchSlots * scratchSize)
    , m_heldMemory(options.directory.holdLimit * heldStride(options))
    , m_directory(makeDirectory(options.directory, std::chrono::steady_clock::now()))
{
    for (std::size_t i = 0; i < options.directory.holdLimit; ++i) {
        m_heldFree.push_back(static_cast<std::uint32_t>(i));
    }
    m_held.reserve(options.directory.holdLimit);
}

void AgentPath::Worker::run()
{
    m_thread = std::thread([this] { loop(); });
}

void AgentPath::Worker::stop()
{
    m_stopping = true;
    wake(m_wake);
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void AgentPath::Worker::setRoute(std::shared_ptr<const ServiceRoute> route)
{
    {
        const std::lock_guard lock(m_mutex);
        m_newRoute = std::move(route);
        m_hasMail = true;
    }
    wake(m_wake);
}

void AgentPath::Worker::addSample(const AnswerSample &sample)
{
    const std::lock_guard lock(m_mutex);
    m_newSamples.push_back(sample);
    m_hasMail = true;
}

Endpoint AgentPath::Worker::local() const
{
    return localEndpoint(m_socket);
}

TimePoint AgentPath::Worker::lastInput() const
{
    return TimePoint(Duration(m_lastInput.load(std::memory_order_relaxed)));
}

AgentPathFigures AgentPath::Worker::figures() const
{
    const std::lock_guard lock(m_mutex);
    return m_figures;
}

void AgentPath::Worker::loop()
{
    std::array<pollfd, 3> entries{{{.fd = m_socket.value(), .events = POLLIN, .revents = 0},
                                   {.fd = m_wake.value(), .events = POLLIN, .revents = 0},
                                   {.fd = m_delivery.pollDescriptor(), .events = POLLIN, .revents = 0}}};
    while (!m_stopping) {
        ::poll(entries.data(), entries.size(), static_cast<int>(tickInterval.count()));
        clearWake(m_wake);
        m_now = std::chrono::steady_clock::now();
        takeMailbox();
        receivePackets();
        m_delivery.receive(*this, m_now);
        if (m_now - m_lastTick >= tickInterval) {
            m_lastTick = m_now;
            tick();
        }
    }
}

void AgentPath::Worker::takeMailbox()
{
    if (!m_hasMail) {
        return;
    }
    std::shared_ptr<const ServiceRoute> route;
    std::vector<AnswerSample> samples;
    {
        const std::lock_guard lock(m_mutex);
        route = std::move(m_newRoute);
        samples.swap(m_newSamples);
        m_hasMail = false;
    }
    for (const auto &item : samples) {
        onAnswer(m_directory, item, m_now);
    }
    if (!route) {
        return;
    }
    // A process that finds a later incarnation of its name in the records takes one above it.
    const auto *const own = findServer(*route, m_options.directory.self);
    if (own != nullptr && own->data == local() && own->incarnation > m_directory.options.incarnation) {
        m_directory.options.incarnation = own->incarnation;
    }
    m_effects.clear();
    onRoster(m_directory, std::move(route), m_now, m_effects);
    performRest();
}

void AgentPath::Worker::receivePackets()
{
    for (std::size_t i = 0; i < batchesBeforePoll; ++i) {
        const std::size_t count = m_receive.receive(m_socket);
        if (count == 0) {
            return;
        }
        m_counters.count(PathEvent::Received, count);
        for (std::size_t k = 0; k < count; ++k) {
            handleDatagram(k);
        }
        flush();
        if (count < batchSize) {
            return;
        }
    }
}

void AgentPath::Worker::handleDatagram(std::size_t index)
{
    if (m_receive.isCut(index)) {
        m_counters.count(PathEvent::Cut);
        return;
    }
    GuePacket outer;
    if (const auto fault = decodeGue(m_receive.datagram(index), m_options.keys, outer);
        fault != GueFault::None) {
        m_counters.count(fault);
        return;
    }
    if (outer.control) {
        handleMessage(outer);
        return;
    }
    m_lastInput.store(m_now.time_since_epoch().count(), std::memory_order_relaxed);
    handlePacket(outer, toEndpoint(m_receive.sender(index)));
}

void AgentPath::Worker::handlePacket(const GuePacket &outer, const Endpoint &sender)
{
    Arrived packet{.bytes = outer.payload};
    if (const auto fault = parsePacket(packet.bytes, packet.parsed); fault != PacketFault::None) {
        m_counters.count(fault);
        return;
    }
    const auto &parsed = packet.parsed;
    const auto &route = m_directory.route;
    const bool sameService = outer.path->service == m_options.directory.service;
    if (sameService && route
        && (parsed.flow.service != route->address || parsed.flow.protocol != route->protocol)) {
        m_counters.count(PathEvent::WrongAddress);
        return;
    }
    const bool udp = parsed.flow.protocol == Protocol::Udp;
    const PacketInfo info{.flow = parsed.flow,
                          .service = outer.path->service,
                          .targetIncarnation = outer.path->target,
                          .rosterVersion = outer.path->rosterVersion,
                          .purpose = static_cast<PacketPurpose>(outer.path->purpose),
                          .hops = outer.path->hops,
                          .fromServer = outer.path->sender,
                          .opens = !parsed.icmpError && (udp || parsed.isNewTcpFlow()),
                          .closes = (parsed.tcpFlags & (tcp::fin | tcp::rst)) != 0};
    onPacket(m_directory, info, m_now, m_effects);
    if (m_effects.tellSender) {
        tellSender(sender, sameService ? ControlType::StaleBalancer : ControlType::WrongTarget);
    }
    perform(m_effects.verdict, packet);
    performRest();
}

void AgentPath::Worker::handleMessage(const GuePacket &outer)
{
    const auto type = static_cast<ControlType>(outer.type);
    if (type != ControlType::Directory) {
        m_counters.count(type == ControlType::StaleBalancer ? PathEvent::StaleNotice
                                                            : PathEvent::WrongTargetNotice);
        return;
    }
    m_counters.count(PathEvent::MessageReceived);
    const std::string_view bytes(reinterpret_cast<const char *>(outer.payload.data()), outer.payload.size());
    const bool taken = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(message, decodeDirectoryMessage(bytes));
            m_effects.clear();
            onMessage(m_directory, outer.path->sender, message, m_now, m_effects);
            return true;
        },
        [](const Error &) { return false; });
    if (!taken) {
        m_counters.count(PathEvent::MessageMalformed);
        return;
    }
    performRest();
}

bool AgentPath::Worker::mayTell(const Endpoint &sender)
{
    auto &told = m_told[EndpointHash{}(sender) % m_told.size()];
    if (told.sender == sender && m_now - told.at < tellInterval) {
        return false;
    }
    told = {sender, m_now};
    return true;
}

void AgentPath::Worker::tellSender(const Endpoint &sender, ControlType type)
{
    if (!mayTell(sender)) {
        return;
    }
    m_counters.count(type == ControlType::StaleBalancer ? PathEvent::StaleNotice
                                                        : PathEvent::WrongTargetNotice);
    sendControl({}, type, m_directory.options.incarnation, sender);
}

void AgentPath::Worker::tick()
{
    m_effects.clear();
    onTick(m_directory, m_now, m_effects);
    performRest();
    m_delivery.sweep(*this, m_now);
    flush();
    if (m_now - m_lastFigures >= figuresInterval) {
        m_lastFigures = m_now;
        publishFigures();
    }
}

void AgentPath::Worker::publishFigures()
{
    AgentPathFigures figures{.localFlows = m_directory.localFlows,
                             .flowLimit = m_directory.route ? localLimit(m_directory) : 0,
                             .knownFlows = m_directory.flows.size(),
                             .heldPackets = m_held.size(),
                             .warmth = m_directory.warmth.share,
                             .copied = isCopied(m_directory),
                             .takenAt = m_now};
    if (const auto &route = m_directory.route) {
        for (std::size_t bucket = 0; bucket < route->owners.size(); ++bucket) {
            const auto index = static_cast<BucketIndex>(bucket);
            const auto *const owner = ownerOf(*route, index);
            if (owner == nullptr || owner->id != m_options.directory.self) {
                continue;
            }
            ++figures.ownedBuckets;
            figures.grantedBuckets += mayPlace(m_directory, index) ? 1 : 0;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_figures = figures;
}

void AgentPath::Worker::perform(const Verdict &verdict, const Arrived &packet)
{
    switch (verdict.action) {
    case PacketAction::Deliver:
        deliver(packet);
        return;
    case PacketAction::Forward:
        forward(verdict, packet);
        return;
    case PacketAction::Hold:
        hold(verdict.held, packet.bytes);
        return;
    case PacketAction::Reset:
        reset(packet.parsed);
        return;
    case PacketAction::Drop:
        m_counters.count(verdict.reason);
        return;
    }
}

// Everything that the effects ask for but the verdict on the packet at hand.
void AgentPath::Worker::performRest()
{
    for (const auto &released : m_effects.released) {
        release(released);
    }
    for (const auto &outgoing : m_effects.messages) {
        sendMessage(outgoing);
    }
    if (!m_effects.released.empty() || !m_effects.messages.empty()) {
        flush();
    }
}

void AgentPath::Worker::release(const Effects::Released &released)
{
    const auto held = m_held.find(released.held);
    if (held == m_held.end()) {
        return;
    }
    const auto buffer = held->second;
    m_held.erase(held);
    std::uint8_t *const start
        = m_heldMemory.data() + buffer.slot * heldStride(m_options) + ReceiveBatch::headroom;
    Arrived packet{.bytes = {start, buffer.size}};
    if (parsePacket(packet.bytes, packet.parsed) == PacketFault::None) {
        perform(released.verdict, packet);
    }
    // The buffer is not used again before it has been sent.
    flush();
    m_heldFree.push_back(buffer.slot);
}

void AgentPath::Worker::deliver(const Arrived &packet)
{
    const auto mss = mssFor(static_cast<std::uint16_t>(m_mtuOut), packet.parsed.v6);
    if (clampMss(packet.bytes, packet.parsed, mss)) {
        m_counters.count(PathEvent::MssClamped);
    }
    const auto before = m_delivery.openFlows();
    const bool taken = m_delivery.deliver(packet.bytes, packet.parsed, m_now);
    m_counters.count(PathEvent::FlowOpened, m_delivery.openFlows() - before);
    m_counters.count(taken ? PathEvent::Delivered : PathEvent::DeliveryFailed);
}

void AgentPath::Worker::forward(const Verdict &verdict, const Arrived &packet)
{
    auto path = ownPath();
    path.target = verdict.toIncarnation;
    path.hops = verdict.hops;
    path.purpose = static_cast<std::uint8_t>(verdict.purpose);
    const auto type = packet.parsed.v6 ? gueIpv6 : gueIpv4;
    send(prependGue(packet.bytes, false, type, path, m_options.keys), verdict.toEndpoint);
    m_counters.count(PathEvent::Forwarded);
}

void AgentPath::Worker::hold(std::uint64_t number, std::span<const std::uint8_t> bytes)
{
    if (m_heldFree.empty() || bytes.size() > heldStride(m_options) - ReceiveBatch::headroom) {
        m_counters.count(PathEvent::HoldFull);
        return;
    }
    const auto slot = m_heldFree.back();
    m_heldFree.pop_back();
    std::uint8_t *const start = m_heldMemory.data() + slot * heldStride(m_options) + ReceiveBatch::headroom;
    std::copy(bytes.begin(), bytes.end(), start);
    m_held[number] = {.slot = slot, .size = static_cast<std::uint32_t>(bytes.size())};
    m_counters.count(PathEvent::Held);
}

void AgentPath::Worker::reset(const ParsedPacket &parsed)
{
    const auto room = scratch();
    const auto size = buildReset(room, parsed);
    if (size == 0) {
        m_counters.count(PathEvent::UnknownDatagram);
        return;
    }
    send(prependPlainGue(room.first(size)), m_options.returnTo);
    m_counters.count(PathEvent::ResetSent);
}

void AgentPath::Worker::sendMessage(const Effects::Outgoing &outgoing)
{
    const auto bytes = encodeDirectoryMessage(outgoing.message);
    const std::span payload(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    sendControl(payload, ControlType::Directory, outgoing.message.toIncarnation, outgoing.endpoint);
    m_counters.count(PathEvent::MessageSent);
}

void AgentPath::Worker::sendControl(std::span<const std::uint8_t> payload, ControlType type,
                                    Incarnation target, const Endpoint &to)
{
    const auto room = scratch();
    if (payload.size() > room.size()) {
        m_counters.count(PathEvent::MessageMalformed);
        return;
    }
    std::copy(payload.begin(), payload.end(), room.begin());
    auto path = ownPath();
    path.target = target;
    send(prependGue(room.first(payload.size()), true, static_cast<std::uint8_t>(type), path, m_options.keys),
         to);
}

void AgentPath::Worker::answer(std::span<std::uint8_t> packet, const ParsedPacket &parsed)
{
    const auto &route = m_directory.route;
    if (!route || parsed.flow.caller != route->address || parsed.flow.protocol != route->protocol) {
        m_counters.count(PathEvent::ForeignAnswer);
        return;
    }
    const bool fragments = parsed.v6 ? parsed.size <= minMtuV6 : parsed.mayFragment;
    if (packet.size() > m_mtuOut && !fragments) {
        refuseTooBig(packet, parsed);
        return;
    }
    if (clampMss(packet, parsed, mssFor(static_cast<std::uint16_t>(m_mtuIn), parsed.v6))) {
        m_counters.count(PathEvent::MssClamped);
    }
    send(prependPlainGue(packet), m_options.returnTo);
    m_counters.count(PathEvent::Answered);
}

void AgentPath::Worker::refuseTooBig(std::span<const std::uint8_t> packet, const ParsedPacket &parsed)
{
    m_counters.count(PathEvent::TooBig);
    const auto room = scratch();
    const auto mtu = static_cast<std::uint16_t>(parsed.v6 ? std::max(m_mtuOut, minMtuV6) : m_mtuOut);
    const auto size = parsed.icmpError ? 0 : buildTooBig(room, packet, parsed, mtu);
    ParsedPacket error;
    if (size == 0 || parsePacket(room.first(size), error) != PacketFault::None) {
        return;
    }
    m_delivery.deliver(room.first(size), error, m_now);
}

void AgentPath::Worker::flush()
{
    m_counters.count(PathEvent::SendRefused, m_send.flush(m_socket));
    m_scratchUsed = 0;
}

void AgentPath::Worker::malformed(PacketFault fault)
{
    m_counters.count(fault);
}

void AgentPath::Worker::foreign()
{
    m_counters.count(PathEvent::ForeignAnswer);
}

void AgentPath::Worker::sample(const AnswerSample &sample)
{
    onAnswer(m_directory, sample, m_now);
}

void AgentPath::Worker::closed(const FlowKey &flow)
{
    m_counters.count(PathEvent::FlowClosed);
    onLocalClose(m_directory, flow, m_now);
}

std::span<std::uint8_t> AgentPath::Worker::scratch()
{
    if (m_scratchUsed == scratchSlots) {
        flush();
    }
    const auto slot = std::span(m_scratch).subspan(m_scratchUsed * scratchSize, scratchSize);
    ++m_scratchUsed;
    return slot.subspan(ReceiveBatch::headroom);
}

void AgentPath::Worker::send(std::span<const std::uint8_t> datagram, const Endpoint &to)
{
    m_send.add(datagram, to);
    if (m_send.isFull()) {
        flush();
    }
}

PathData AgentPath::Worker::ownPath() const
{
    return {.service = m_options.directory.service,
            .target = m_directory.options.incarnation,
            .rosterVersion = m_directory.route ? m_directory.route->version : 0,
            .sender = m_options.directory.self};
}

} // namespace oriolelever
