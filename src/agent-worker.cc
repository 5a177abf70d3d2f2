#include "agent-worker.h"

#include <algorithm>

#include <poll.h>

#include "oriolelever/directory-codec.h"

namespace oriolelever {

namespace {

constexpr std::size_t batchSize = 64; ///< Datagrams.
constexpr std::size_t batchesBeforePoll = 8; ///< Largest number of batches between two polls.
constexpr std::size_t bufferSlack
    = 128; ///< Bytes beyond the MTU, so that a packet that exceeds the MTU is received whole.
constexpr std::size_t scratchSlotCount = 64;
constexpr std::size_t scratchSlotSize = 2048; ///< Bytes, headroom included.
constexpr auto tickInterval = std::chrono::milliseconds(10);
constexpr auto statusInterval = std::chrono::milliseconds(100);
constexpr auto noticeInterval = std::chrono::milliseconds(100); ///< Between notices to one sender.
constexpr std::size_t minMtuV6 = 1280; ///< Bytes; the minimum link MTU of IPv6.

// Bytes of one slot for a held packet, headroom included.
std::size_t heldSlotSize(const AgentPathOptions &options)
{
    return ReceiveBatch::headroom + options.mtu + bufferSlack;
}

} // namespace

AgentPath::Worker::Worker(const AgentPathOptions &options, FileDescriptor socket,
                          FileDescriptor wakeDescriptor, Delivery &delivery)
    : m_options(options)
    , m_socket(std::move(socket))
    , m_wakeDescriptor(std::move(wakeDescriptor))
    , m_delivery(delivery)
    , m_receiveBatch(batchSize, options.mtu + bufferSlack)
    , m_sendBatch(batchSize)
    , m_inboundMtu(options.mtu - outerOverhead(!options.listen.address.isV4(), true, options.keys))
    , m_outboundMtu(options.mtu - outerOverhead(!options.returnEndpoint.address.isV4(), false, options.keys))
    , m_scratch(scratchSlotCount * scratchSlotSize)
    , m_heldBuffers(options.directory.holdLimit * heldSlotSize(options))
    , m_directory(makeDirectory(options.directory, std::chrono::steady_clock::now()))
{
    for (std::size_t i = 0; i < options.directory.holdLimit; ++i) {
        m_freeHeldSlots.push_back(static_cast<std::uint32_t>(i));
    }
    m_heldPackets.reserve(options.directory.holdLimit);
}

void AgentPath::Worker::run()
{
    m_thread = std::thread([this] { loop(); });
}

void AgentPath::Worker::stop()
{
    m_stopping = true;
    wake(m_wakeDescriptor);
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void AgentPath::Worker::setRoute(std::shared_ptr<const ServiceRoute> route)
{
    {
        const std::lock_guard lock(m_mutex);
        m_postedRoute = std::move(route);
        m_hasPostedUpdates = true;
    }
    wake(m_wakeDescriptor);
}

void AgentPath::Worker::addSample(const AnswerSample &sample)
{
    const std::lock_guard lock(m_mutex);
    m_postedSamples.push_back(sample);
    m_hasPostedUpdates = true;
}

Endpoint AgentPath::Worker::local() const
{
    return localEndpoint(m_socket);
}

TimePoint AgentPath::Worker::lastReceiveTime() const
{
    return TimePoint(Duration(m_lastReceiveTime.load(std::memory_order_relaxed)));
}

AgentPathStatus AgentPath::Worker::status() const
{
    const std::lock_guard lock(m_mutex);
    return m_status;
}

void AgentPath::Worker::loop()
{
    std::array<pollfd, 3> entries{{{.fd = m_socket.value(), .events = POLLIN, .revents = 0},
                                   {.fd = m_wakeDescriptor.value(), .events = POLLIN, .revents = 0},
                                   {.fd = m_delivery.pollDescriptor(), .events = POLLIN, .revents = 0}}};
    while (!m_stopping) {
        ::poll(entries.data(), entries.size(), static_cast<int>(tickInterval.count()));
        clearWake(m_wakeDescriptor);
        m_now = std::chrono::steady_clock::now();
        applyPostedUpdates();
        receivePackets();
        m_delivery.receive(*this, m_now);
        if (m_now - m_lastTickTime >= tickInterval) {
            m_lastTickTime = m_now;
            runPeriodicTasks();
        }
    }
}

void AgentPath::Worker::applyPostedUpdates()
{
    if (!m_hasPostedUpdates) {
        return;
    }
    std::shared_ptr<const ServiceRoute> route;
    std::vector<AnswerSample> samples;
    {
        const std::lock_guard lock(m_mutex);
        route = std::move(m_postedRoute);
        samples.swap(m_postedSamples);
        m_hasPostedUpdates = false;
    }
    for (const auto &item : samples) {
        recordLocalAnswer(m_directory, item, m_now);
    }
    if (!route) {
        return;
    }
    // A process that finds a later incarnation of its name in the records announces one above it. The roster
    // then has that incarnation together with this agent's address.
    const auto *const ownServer = findServer(*route, m_options.directory.self);
    if (ownServer != nullptr && ownServer->data == local()
        && ownServer->incarnation > m_directory.options.incarnation) {
        m_directory.options.incarnation = ownServer->incarnation;
    }
    m_effects.clear();
    applyDirectoryRoster(m_directory, std::move(route), m_now, m_effects);
    applyEffects();
}

void AgentPath::Worker::receivePackets()
{
    for (std::size_t i = 0; i < batchesBeforePoll; ++i) {
        const std::size_t count = m_receiveBatch.receive(m_socket);
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
    if (m_receiveBatch.isTruncated(index)) {
        m_counters.count(PathEvent::Oversized);
        return;
    }
    GuePacket outer;
    if (const auto fault = decodeGue(m_receiveBatch.datagram(index), m_options.keys, outer);
        fault != GueFault::None) {
        m_counters.count(fault);
        return;
    }
    if (outer.control) {
        handleControlMessage(outer);
        return;
    }
    m_lastReceiveTime.store(m_now.time_since_epoch().count(), std::memory_order_relaxed);
    handleDataPacket(outer, toEndpoint(m_receiveBatch.sender(index)));
}

void AgentPath::Worker::handleDataPacket(const GuePacket &outer, const Endpoint &sender)
{
    InnerPacket packet{.bytes = outer.payload};
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
                          .targetIncarnation = outer.path->targetIncarnation,
                          .rosterVersion = outer.path->rosterVersion,
                          .purpose = static_cast<PacketPurpose>(outer.path->purpose),
                          .hops = outer.path->hops,
                          .fromServer = outer.path->sender,
                          .opens = !parsed.isIcmpError && (udp || parsed.isNewTcpFlow()),
                          .closes = (parsed.tcpFlags & (tcp::fin | tcp::rst)) != 0};
    handleFlowPacket(m_directory, info, m_now, m_effects);
    if (m_effects.isSenderStale) {
        sendNotice(sender, sameService ? ControlType::StaleRoster : ControlType::WrongTarget);
    }
    applyVerdict(m_effects.verdict, packet);
    applyEffects();
}

void AgentPath::Worker::handleControlMessage(const GuePacket &outer)
{
    const auto type = static_cast<ControlType>(outer.type);
    if (type != ControlType::Directory) {
        // The counters include the notices that this agent sends.
        m_counters.count(type == ControlType::StaleRoster ? PathEvent::StaleNotice
                                                          : PathEvent::WrongTargetNotice);
        return;
    }
    m_counters.count(PathEvent::MessageReceived);
    const std::string_view bytes(reinterpret_cast<const char *>(outer.payload.data()), outer.payload.size());
    const bool accepted = handleError(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(message, decodeDirectoryMessage(bytes));
            m_effects.clear();
            handleDirectoryMessage(m_directory, outer.path->sender, message, m_now, m_effects);
            return true;
        },
        [](const Error &) { return false; });
    if (!accepted) {
        m_counters.count(PathEvent::MessageMalformed);
        return;
    }
    applyEffects();
}

// Senders whose hashes select the same entry replace each other, and may then get notices more often.
bool AgentPath::Worker::tryRecordNotice(const Endpoint &sender)
{
    auto &lastNotice = m_sentNotices[EndpointHash{}(sender) % m_sentNotices.size()];
    if (lastNotice.sender == sender && m_now - lastNotice.sentAt < noticeInterval) {
        return false;
    }
    lastNotice = {sender, m_now};
    return true;
}

void AgentPath::Worker::sendNotice(const Endpoint &sender, ControlType type)
{
    if (!tryRecordNotice(sender)) {
        return;
    }
    m_counters.count(type == ControlType::StaleRoster ? PathEvent::StaleNotice
                                                      : PathEvent::WrongTargetNotice);
    // The receiver of a notice uses the service and the roster version of its path data, not the target
    // incarnation.
    sendControlMessage({}, type, m_directory.options.incarnation, sender);
}

void AgentPath::Worker::runPeriodicTasks()
{
    m_effects.clear();
    handleDirectoryTick(m_directory, m_now, m_effects);
    applyEffects();
    m_delivery.expireFlows(*this, m_now);
    flush();
    if (m_now - m_lastStatusTime >= statusInterval) {
        m_lastStatusTime = m_now;
        publishStatus();
    }
}

void AgentPath::Worker::publishStatus()
{
    AgentPathStatus status{.localFlows = m_directory.localFlows,
                           .flowLimit = m_directory.route ? localFlowLimit(m_directory) : 0,
                           .knownFlows = m_directory.flows.size(),
                           .heldPackets = m_heldPackets.size(),
                           .warmth = m_directory.slowStart.warmFraction,
                           .localFlowsReplicated = isFullyReplicated(m_directory),
                           .updatedAt = m_now};
    if (const auto &route = m_directory.route) {
        for (std::size_t bucket = 0; bucket < route->owners.size(); ++bucket) {
            const auto index = static_cast<BucketIndex>(bucket);
            const auto *const owner = ownerOf(*route, index);
            if (owner == nullptr || owner->id != m_options.directory.self) {
                continue;
            }
            ++status.ownedBuckets;
            status.grantedBuckets += canPlace(m_directory, index) ? 1 : 0;
        }
    }
    const std::lock_guard lock(m_mutex);
    m_status = status;
}

void AgentPath::Worker::applyVerdict(const Verdict &verdict, const InnerPacket &packet)
{
    switch (verdict.action) {
    case PacketAction::Deliver:
        deliver(packet);
        return;
    case PacketAction::Forward:
        forward(verdict, packet);
        return;
    case PacketAction::Hold:
        holdPacket(verdict.holdId, packet.bytes);
        return;
    case PacketAction::Reset:
        sendTcpReset(packet.parsed);
        return;
    case PacketAction::Drop:
        m_counters.count(verdict.reason);
        return;
    }
}

void AgentPath::Worker::applyEffects()
{
    for (const auto &released : m_effects.released) {
        releaseHeldPacket(released);
    }
    for (const auto &outgoing : m_effects.messages) {
        sendDirectoryMessage(outgoing);
    }
    if (!m_effects.released.empty() || !m_effects.messages.empty()) {
        flush();
    }
}

void AgentPath::Worker::releaseHeldPacket(const Effects::Released &released)
{
    const auto held = m_heldPackets.find(released.holdId);
    if (held == m_heldPackets.end()) {
        return;
    }
    const auto buffer = held->second;
    m_heldPackets.erase(held);
    std::uint8_t *const start
        = m_heldBuffers.data() + buffer.slot * heldSlotSize(m_options) + ReceiveBatch::headroom;
    InnerPacket packet{.bytes = {start, buffer.size}};
    if (parsePacket(packet.bytes, packet.parsed) == PacketFault::None) {
        applyVerdict(released.verdict, packet);
    }
    // The queued datagram points into the slot, so it is sent before the slot is reused.
    flush();
    m_freeHeldSlots.push_back(buffer.slot);
}

void AgentPath::Worker::deliver(const InnerPacket &packet)
{
    const auto mss = mssFor(static_cast<std::uint16_t>(m_outboundMtu), packet.parsed.v6);
    if (clampMss(packet.bytes, packet.parsed, mss)) {
        m_counters.count(PathEvent::MssClamped);
    }
    const auto openFlowsBefore = m_delivery.openFlowCount();
    const bool accepted = m_delivery.deliver(packet.bytes, packet.parsed, m_now);
    m_counters.count(PathEvent::FlowOpened, m_delivery.openFlowCount() - openFlowsBefore);
    m_counters.count(accepted ? PathEvent::Delivered : PathEvent::DeliveryFailed);
}

void AgentPath::Worker::forward(const Verdict &verdict, const InnerPacket &packet)
{
    auto path = ownPathData();
    path.targetIncarnation = verdict.toIncarnation;
    path.hops = verdict.hops;
    path.purpose = static_cast<std::uint8_t>(verdict.purpose);
    const auto type = packet.parsed.v6 ? gueIpv6 : gueIpv4;
    send(prependGue(packet.bytes, false, type, path, m_options.keys), verdict.toEndpoint);
    m_counters.count(PathEvent::Forwarded);
}

void AgentPath::Worker::holdPacket(std::uint64_t number, std::span<const std::uint8_t> bytes)
{
    if (m_freeHeldSlots.empty() || bytes.size() > heldSlotSize(m_options) - ReceiveBatch::headroom) {
        m_counters.count(PathEvent::HoldFull);
        return;
    }
    const auto slot = m_freeHeldSlots.back();
    m_freeHeldSlots.pop_back();
    std::uint8_t *const start
        = m_heldBuffers.data() + slot * heldSlotSize(m_options) + ReceiveBatch::headroom;
    std::copy(bytes.begin(), bytes.end(), start);
    m_heldPackets[number] = {.slot = slot, .size = static_cast<std::uint32_t>(bytes.size())};
    m_counters.count(PathEvent::Held);
}

void AgentPath::Worker::sendTcpReset(const ParsedPacket &parsed)
{
    const auto space = allocateScratch();
    const auto size = buildReset(space, parsed);
    if (size == 0) {
        // No RST can answer the packet, such as one of UDP.
        m_counters.count(PathEvent::UnknownDatagram);
        return;
    }
    send(prependPlainGue(space.first(size)), m_options.returnEndpoint);
    m_counters.count(PathEvent::ResetSent);
}

void AgentPath::Worker::sendDirectoryMessage(const Effects::Outgoing &outgoing)
{
    const auto bytes = encodeDirectoryMessage(outgoing.message);
    const std::span payload(reinterpret_cast<const std::uint8_t *>(bytes.data()), bytes.size());
    sendControlMessage(payload, ControlType::Directory, outgoing.message.toIncarnation, outgoing.endpoint);
    m_counters.count(PathEvent::MessageSent);
}

void AgentPath::Worker::sendControlMessage(std::span<const std::uint8_t> payload, ControlType type,
                                           Incarnation targetIncarnation, const Endpoint &to)
{
    const auto space = allocateScratch();
    if (payload.size() > space.size()) {
        m_counters.count(PathEvent::MessageMalformed);
        return;
    }
    std::copy(payload.begin(), payload.end(), space.begin());
    auto path = ownPathData();
    path.targetIncarnation = targetIncarnation;
    send(prependGue(space.first(payload.size()), true, static_cast<std::uint8_t>(type), path, m_options.keys),
         to);
}

void AgentPath::Worker::handleServerPacket(std::span<std::uint8_t> packet, const ParsedPacket &parsed)
{
    const auto &route = m_directory.route;
    // In a packet of the server, `flow.caller` is the source: the address of the service.
    if (!route || parsed.flow.caller != route->address || parsed.flow.protocol != route->protocol) {
        m_counters.count(PathEvent::ForeignAnswer);
        return;
    }
    // Such a packet is sent whole: the kernel fragments the outer packet. An IPv6 sender cannot be asked for
    // less than the minimum MTU.
    const bool mayBeFragmented = parsed.v6 ? parsed.size <= minMtuV6 : parsed.mayFragment;
    if (packet.size() > m_outboundMtu && !mayBeFragmented) {
        rejectTooBig(packet, parsed);
        return;
    }
    if (clampMss(packet, parsed, mssFor(static_cast<std::uint16_t>(m_inboundMtu), parsed.v6))) {
        m_counters.count(PathEvent::MssClamped);
    }
    send(prependPlainGue(packet), m_options.returnEndpoint);
    m_counters.count(PathEvent::Answered);
}

void AgentPath::Worker::rejectTooBig(std::span<const std::uint8_t> packet, const ParsedPacket &parsed)
{
    m_counters.count(PathEvent::TooBig);
    const auto space = allocateScratch();
    const auto mtu
        = static_cast<std::uint16_t>(parsed.v6 ? std::max(m_outboundMtu, minMtuV6) : m_outboundMtu);
    const auto size = parsed.isIcmpError ? 0 : buildTooBig(space, packet, parsed, mtu);
    ParsedPacket error;
    if (size == 0 || parsePacket(space.first(size), error) != PacketFault::None) {
        return;
    }
    m_delivery.deliver(space.first(size), error, m_now);
}

void AgentPath::Worker::flush()
{
    m_counters.count(PathEvent::SendRefused, m_sendBatch.flush(m_socket));
    m_usedScratchSlots = 0;
}

void AgentPath::Worker::handleMalformed(PacketFault fault)
{
    m_counters.count(fault);
}

void AgentPath::Worker::handleFlowMismatch()
{
    m_counters.count(PathEvent::ForeignAnswer);
}

void AgentPath::Worker::recordServerSample(const AnswerSample &sample)
{
    recordLocalAnswer(m_directory, sample, m_now);
}

void AgentPath::Worker::handleFlowExpired(const FlowKey &flow)
{
    m_counters.count(PathEvent::FlowClosed);
    handleLocalClose(m_directory, flow, m_now);
}

std::span<std::uint8_t> AgentPath::Worker::allocateScratch()
{
    if (m_usedScratchSlots == scratchSlotCount) {
        flush();
    }
    const auto slot = std::span(m_scratch).subspan(m_usedScratchSlots * scratchSlotSize, scratchSlotSize);
    ++m_usedScratchSlots;
    return slot.subspan(ReceiveBatch::headroom);
}

void AgentPath::Worker::send(std::span<const std::uint8_t> datagram, const Endpoint &to)
{
    m_sendBatch.add(datagram, to);
    if (m_sendBatch.isFull()) {
        flush();
    }
}

PathData AgentPath::Worker::ownPathData() const
{
    return {.service = m_options.directory.service,
            .targetIncarnation = m_directory.options.incarnation,
            .rosterVersion = m_directory.route ? m_directory.route->version : 0,
            .sender = m_options.directory.self};
}

} // namespace oriolelever
