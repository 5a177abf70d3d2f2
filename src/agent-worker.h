/// The thread behind AgentPath.
#pragma once

#include <array>
#include <mutex>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "oriolelever/agent-path.h"

namespace oriolelever {

class AgentPath::Worker : private AnswerSink
{
public:
    Worker(const AgentPathOptions &options, FileDescriptor socket, FileDescriptor wakeUp, Delivery &delivery);

    void run();
    void stop();
    void setRoute(std::shared_ptr<const ServiceRoute> route);
    void addSample(const AnswerSample &sample);
    Endpoint local() const;
    TimePoint lastInput() const;
    AgentPathFigures figures() const;

    const PathCounters &counters() const
    {
        return m_counters;
    }

private:
    /// A packet with its headers, in memory that lives until the next flush.
    struct Arrived
    {
        std::span<std::uint8_t> bytes;
        ParsedPacket parsed;
    };

    struct HeldBuffer
    {
        std::uint32_t slot = 0;
        std::uint32_t size = 0;
    };

    void loop();
    void takeMailbox();
    void receivePackets();
    void handleDatagram(std::size_t index);
    void handlePacket(const GuePacket &outer, const Endpoint &sender);
    void handleMessage(const GuePacket &outer);
    void tellSender(const Endpoint &sender, ControlType type);
    bool mayTell(const Endpoint &sender);
    void tick();
    void publishFigures();

    void perform(const Verdict &verdict, const Arrived &packet);
    void performRest();
    void release(const Effects::Released &released);
    void deliver(const Arrived &packet);
    void forward(const Verdict &verdict, const Arrived &packet);
    void hold(std::uint64_t number, std::span<const std::uint8_t> bytes);
    void reset(const ParsedPacket &parsed);
    void sendMessage(const Effects::Outgoing &outgoing);
    void sendControl(std::span<const std::uint8_t> payload, ControlType type, Incarnation target,
                     const Endpoint &to);

    void answer(std::span<std::uint8_t> packet, const ParsedPacket &parsed) override;
    void flush() override;
    void malformed(PacketFault fault) override;
    void foreign() override;
    void sample(const AnswerSample &sample) override;
    void closed(const FlowKey &flow) override;

    void refuseTooBig(std::span<const std::uint8_t> packet, const ParsedPacket &parsed);
    std::span<std::uint8_t> scratch();
    void send(std::span<const std::uint8_t> datagram, const Endpoint &to);
    PathData ownPath() const;

    const AgentPathOptions &m_options;
    FileDescriptor m_socket;
    FileDescriptor m_wake;
    Delivery &m_delivery;
    ReceiveBatch m_receive;
    SendBatch m_send;
    std::size_t m_mtuIn; ///< Largest inner packet that reaches this agent unfragmented.
    std::size_t m_mtuOut; ///< The same for answers.
    std::vector<std::uint8_t> m_scratch; ///< Packets that are made here, until the next flush.
    std::size_t m_scratchUsed = 0;
    std::vector<std::uint8_t> m_heldMemory;
    std::vector<std::uint32_t> m_heldFree;
    absl::flat_hash_map<std::uint64_t, HeldBuffer> m_held;

    struct Told
    {
        Endpoint sender;
        TimePoint at;
    };

    std::array<Told, 64> m_told{};
    Directory m_directory;
    Effects m_effects;
    PathCounters m_counters;
    TimePoint m_now;
    TimePoint m_lastTick;
    TimePoint m_lastFigures;

    mutable std::mutex m_mutex;
    std::shared_ptr<const ServiceRoute> m_newRoute; ///< Guarded by `m_mutex`.
    std::vector<AnswerSample> m_newSamples; ///< Guarded by `m_mutex`.
    AgentPathFigures m_figures; ///< Guarded by `m_mutex`.
    std::atomic<bool> m_hasMail{false};
    std::atomic<bool> m_stopping{false};
    std::atomic<Duration::rep> m_lastInput{0};
    std::thread m_thread;
};

} // namespace oriolelever
