/// The last step of the packet path: between the agent and its backend server.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "oriolelever/capacity.h"
#include "oriolelever/packet.h"
#include "oriolelever/sockets.h"

namespace oriolelever {

/// Takes what comes from the backend server.
class AnswerSink
{
public:
    virtual ~AnswerSink() = default;

    /// A whole IP packet, `ReceiveBatch::headroom` free bytes before it; it lives until `flush` returns.
    virtual void answer(std::span<std::uint8_t> packet, const ParsedPacket &parsed) = 0;
    /// The buffers of the answers are needed again.
    virtual void flush() = 0;
    /// A packet that cannot be read.
    virtual void malformed(PacketFault fault) = 0;
    /// A packet that does not belong to the flow of its socket.
    virtual void foreign() = 0;
    /// The backend server answered the first packet of a flow.
    virtual void sample(const AnswerSample &sample) = 0;
    /// The flow has ended, or has been silent for too long; nothing is kept for it any more.
    virtual void closed(const FlowKey &flow) = 0;
};

/// Passes packets to the backend server and back. Used by one thread.
class Delivery
{
public:
    virtual ~Delivery() = default;

    /// Readable when there are answers.
    virtual int pollDescriptor() const = 0;
    /// Passes a packet of a caller; false when the backend server's side does not take it.
    virtual bool deliver(std::span<const std::uint8_t> packet, const ParsedPacket &parsed, TimePoint now) = 0;
    /// Takes the answers that are there.
    virtual void receive(AnswerSink &sink, TimePoint now) = 0;
    /// Frees the flows that have ended or gone silent.
    virtual void sweep(AnswerSink &sink, TimePoint now) = 0;
    virtual std::size_t openFlows() const = 0;
};

struct SocketDeliveryOptions
{
    Endpoint server; ///< Where the backend server takes whole packets as UDP payload.
    std::uint16_t mtu = 1500; ///< Of an inner packet, bytes.
    Duration closeTime = std::chrono::seconds(2); ///< An ended flow is freed after this.
    Duration tcpIdleTime = std::chrono::hours(2);
    Duration udpIdleTime = std::chrono::minutes(3);
};

/// One connected UDP socket for each flow. Fails with `Code::SocketFailed`.
Result<std::unique_ptr<Delivery>> makeSocketDelivery(const SocketDeliveryOptions &options);

struct TunDeliveryOptions
{
    std::string device; ///< An existing TUN device, or one that the process may create.
    std::uint16_t mtu = 1500;
};

/// The kernel's TCP and UDP through a TUN device. Fails with `Code::NotPermitted` or `Code::SocketFailed`;
/// the text names the device.
Result<std::unique_ptr<Delivery>> makeTunDelivery(const TunDeliveryOptions &options);

} // namespace oriolelever
