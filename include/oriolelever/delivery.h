/// Exchange of packets between an agent and its backend server.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "oriolelever/capacity.h"
#include "oriolelever/packet.h"
#include "oriolelever/sockets.h"

namespace oriolelever {

/// Receives the packets and events of the backend server from a `Delivery`.
class ServerPacketSink
{
public:
    virtual ~ServerPacketSink() = default;

    /// Called with an IP packet of the backend server. `packet` has `ReceiveBatch::headroom` free bytes
    /// before it and stays valid until the next `flush` returns.
    virtual void handleServerPacket(std::span<std::uint8_t> packet, const ParsedPacket &parsed) = 0;
    /// Called before the buffers of earlier packets are reused: packets that are still queued must be sent.
    virtual void flush() = 0;
    /// Called for a packet that cannot be parsed.
    virtual void handleMalformed(PacketFault fault) = 0;
    /// Called for a packet that does not belong to the flow of its socket.
    virtual void handleFlowMismatch() = 0;
    /// Called with the time from the first packet of a flow to the backend server's first answer.
    virtual void recordServerSample(const AnswerSample &sample) = 0;
    /// Called when a flow that has ended or was idle too long has been removed.
    virtual void handleFlowExpired(const FlowKey &flow) = 0;
};

/// Delivers packets to the backend server and receives its packets. Not thread-safe.
class Delivery
{
public:
    virtual ~Delivery() = default;

    /// A descriptor that is readable when packets of the backend server wait.
    virtual int pollDescriptor() const = 0;
    /// Sends a caller's IP packet to the backend server. Returns false if the operating system refuses it.
    virtual bool deliver(std::span<const std::uint8_t> packet, const ParsedPacket &parsed, TimePoint now) = 0;
    /// Passes the waiting packets of the backend server to `sink`.
    virtual void receive(ServerPacketSink &sink, TimePoint now) = 0;
    /// Removes flows that have ended or were idle too long. One call may examine only a part of the flows.
    virtual void expireFlows(ServerPacketSink &sink, TimePoint now) = 0;
    /// Number of flows for which state is kept; always 0 if the kernel keeps it.
    virtual std::size_t openFlowCount() const = 0;
};

struct SocketDeliveryOptions
{
    Endpoint server; ///< Where the backend server receives IP packets as UDP payload.
    std::uint16_t mtu = 1500; ///< Largest IP packet, in bytes.
    Duration endedFlowTimeout = std::chrono::seconds(2); ///< From a flow's last packet until it is removed.
    Duration tcpIdleTimeout = std::chrono::hours(2); ///< The same for a TCP flow that has not ended.
    Duration udpIdleTimeout = std::chrono::minutes(3);
};

/// Creates a delivery over UDP sockets, one connected socket per flow. Fails with `Code::SocketFailed`.
Result<std::unique_ptr<Delivery>> makeSocketDelivery(const SocketDeliveryOptions &options);

struct TunDeliveryOptions
{
    std::string device; ///< Name of a TUN device; it is created if it does not exist.
    std::uint16_t mtu = 1500; ///< Largest IP packet, in bytes.
};

/// Creates a delivery to the kernel's TCP and UDP through a TUN device. Fails with `Code::NotPermitted` or
/// `Code::SocketFailed`; the text names the device.
Result<std::unique_ptr<Delivery>> makeTunDelivery(const TunDeliveryOptions &options);

} // namespace oriolelever
