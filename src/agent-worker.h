/// The packet thread of `AgentPath`.
#pragma once

#include <array>
#include <mutex>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "oriolelever/agent-path.h"

namespace oriolelever {

class AgentPath::Worker : private ServerPacketSink
{
public:
    Worker(const AgentPathOptions &options, FileDescriptor socket, FileDescriptor wakeDescriptor,
           Delivery &delivery);

    void run();
    void stop();
    void setRoute(std::shared_ptr<const ServiceRoute> route);
    void addSample(const AnswerSample &sample);
    Endpoint local() const;
    TimePoint lastReceiveTime() const;
    AgentPathStatus status() const;

    const PathCounters &counters() const
    {
        return m_counters;
    }

private:
    /// A decapsulated packet. `bytes` is valid until the next flush and has `ReceiveBatch::headroom` free
    /// bytes before it.
    struct InnerPacket
    {
        std::span<std::uint8_t> bytes;
        ParsedPacket parsed;
    };

    /// Place of a held packet in `m_heldBuffers`.
    struct HeldBuffer
    {
        std::uint32_t slot = 0;
        std::uint32_t size = 0; ///< Bytes.
    };

    void loop();
    /// Passes the roster and the samples that other threads have queued to the directory.
    void applyPostedUpdates();
    void receivePackets();
    void handleDatagram(std::size_t index);
    void handleDataPacket(const GuePacket &outer, const Endpoint &sender);
    void handleControlMessage(const GuePacket &outer);
    /// Sends a notice of `type` to the sender of a packet, at most one per `noticeInterval`.
    void sendNotice(const Endpoint &sender, ControlType type);
    /// Records that a notice is sent to `sender` now; returns false if the last one is too recent.
    bool tryRecordNotice(const Endpoint &sender);
    void runPeriodicTasks();
    void publishStatus();

    void applyVerdict(const Verdict &verdict, const InnerPacket &packet);
    /// Releases held packets and sends messages as `m_effects` says. `m_effects.verdict` is not applied.
    void applyEffects();
    void releaseHeldPacket(const Effects::Released &released);
    void deliver(const InnerPacket &packet);
    void forward(const Verdict &verdict, const InnerPacket &packet);
    /// Copies a packet to a hold buffer under the directory's number for it.
    void holdPacket(std::uint64_t number, std::span<const std::uint8_t> bytes);
    /// Resets the flow of a caller's packet.
    void sendTcpReset(const ParsedPacket &parsed);
    void sendDirectoryMessage(const Effects::Outgoing &outgoing);
    void sendControlMessage(std::span<const std::uint8_t> payload, ControlType type,
                            Incarnation targetIncarnation, const Endpoint &to);

    void handleServerPacket(std::span<std::uint8_t> packet, const ParsedPacket &parsed) override;
    void flush() override;
    void handleMalformed(PacketFault fault) override;
    void handleFlowMismatch() override;
    void recordServerSample(const AnswerSample &sample) override;
    void handleFlowExpired(const FlowKey &flow) override;

    /// Answers a packet of the backend server that exceeds the MTU by an ICMP error.
    void rejectTooBig(std::span<const std::uint8_t> packet, const ParsedPacket &parsed);
    /// Returns a free scratch slot after its headroom; flushes first if all slots are in use.
    std::span<std::uint8_t> allocateScratch();
    /// Queues a datagram until the next flush.
    void send(std::span<const std::uint8_t> datagram, const Endpoint &to);
    /// Private data with this agent as sender and as target.
    PathData ownPathData() const;

    const AgentPathOptions &m_options;
    FileDescriptor m_socket;
    FileDescriptor m_wakeDescriptor;
    Delivery &m_delivery;
    ReceiveBatch m_receiveBatch;
    SendBatch m_sendBatch;
    std::size_t m_inboundMtu; ///< Largest inner packet that reaches this agent unfragmented, in bytes.
    std::size_t m_outboundMtu; ///< The same for packets to `returnEndpoint`.
    std::vector<std::uint8_t> m_scratch; ///< Slots for datagrams built here, until the next flush.
    std::size_t m_usedScratchSlots = 0; ///< Since the last flush.
    std::vector<std::uint8_t> m_heldBuffers; ///< `DirectoryOptions::holdLimit` slots for held packets.
    std::vector<std::uint32_t> m_freeHeldSlots;
    absl::flat_hash_map<std::uint64_t, HeldBuffer> m_heldPackets; ///< By the directory's number.

    struct SentNotice
    {
        Endpoint sender; ///< Sender of the packet, which got the notice.
        TimePoint sentAt;
    };

    std::array<SentNotice, 64> m_sentNotices{}; ///< Last notices, indexed by a hash of the sender.
    Directory m_directory;
    Effects m_effects; ///< Reused, so that a packet of a known flow needs no allocation.
    PathCounters m_counters;
    TimePoint m_now; ///< Start of the current pass of the loop.
    TimePoint m_lastTickTime; ///< Of `runPeriodicTasks`.
    TimePoint m_lastStatusTime; ///< Of `publishStatus`.

    mutable std::mutex m_mutex;
    std::shared_ptr<const ServiceRoute> m_postedRoute; ///< Guarded by `m_mutex`; null if none is queued.
    std::vector<AnswerSample> m_postedSamples; ///< Guarded by `m_mutex`.
    AgentPathStatus m_status; ///< Guarded by `m_mutex`.
    std::atomic<bool> m_hasPostedUpdates{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<Duration::rep> m_lastReceiveTime{0};
    std::thread m_thread;
};

} // namespace oriolelever
