/// The packet side of a backend server for tests: takes whole IP packets from its agent and answers them.
#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>

#include "oriolelever/packet.h"
#include "oriolelever/sockets.h"

namespace oriolelever::lab {

/// Wall time in slots of 10 ms, so that figures of several processes can be compared.
using WallSlot = std::int64_t;
constexpr std::chrono::milliseconds wallSlotTime{10};

WallSlot wallSlotOf(std::chrono::system_clock::time_point time);

struct PacketServerOptions
{
    std::string name; ///< Payload of each answer.
    Endpoint listen; ///< Port 0 takes a free one.
    Endpoint service; ///< Virtual address and port.
    Protocol protocol = Protocol::Tcp;
    std::chrono::milliseconds answerTime{0}; ///< Before the first answer of a flow; delays the others too.
};

struct PacketServerFigures
{
    std::uint64_t packets = 0;
    std::uint64_t packetsToWrongService = 0;
    std::uint64_t packetsMalformed = 0;
    std::uint64_t resetsSent = 0; ///< Segments of unknown flows.
    std::uint64_t flowsOpened = 0;
    std::size_t flowsOpen = 0;
    std::size_t peakFlows = 0;
    std::map<WallSlot, std::uint64_t> packetsBySlot;
    std::map<WallSlot, std::uint64_t> flowsBySlot; ///< Flows opened.
};

/// Packets in slots that begin at or after `time`.
std::uint64_t packetsSince(const PacketServerFigures &figures, std::chrono::system_clock::time_point time);

/// Runs on a thread of its own. A SYN or the first datagram makes a flow; a TCP segment of an unknown flow is
/// answered by RST.
class PacketServer
{
public:
    explicit PacketServer(PacketServerOptions options);
    ~PacketServer();
    PacketServer(const PacketServer &) = delete;
    PacketServer &operator=(const PacketServer &) = delete;

    Result<void> start();
    void stop();
    /// Loses every flow, as a restart of the server does.
    void forgetFlows();

    Endpoint local() const;
    PacketServerFigures figures() const;

private:
    struct Flow
    {
        std::uint32_t sequence = 0; ///< Of the server's next byte.
        std::uint32_t expected = 0; ///< The caller's next byte.
        bool closing = false;
        TimePoint lastSeen;
    };

    void loop();
    void handle(std::span<const std::uint8_t> bytes, const Endpoint &agent);
    void handleTcp(const ParsedPacket &parsed, const Endpoint &agent);
    void handleUdp(const ParsedPacket &parsed, const Endpoint &agent);
    void reply(const ParsedPacket &parsed, Flow &flow, std::uint8_t flags, bool named, const Endpoint &agent);
    void send(std::span<const std::uint8_t> bytes, const Endpoint &agent);
    Flow &openFlow(const ParsedPacket &parsed);
    void sweep(TimePoint now);

    PacketServerOptions m_options;
    FileDescriptor m_socket;
    FileDescriptor m_wake;
    ReceiveBatch m_receive;
    mutable std::mutex m_mutex;
    std::unordered_map<FlowKey, Flow> m_flows; ///< Guarded by `m_mutex`, as are the figures.
    PacketServerFigures m_figures;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

} // namespace oriolelever::lab
