#include <cerrno>
#include <cstring>
#include <vector>

#include <fcntl.h>
#include <fmt/format.h>
#include <linux/if_tun.h>
#include <net/if.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "oriolelever/delivery.h"

namespace oriolelever {

namespace {

constexpr std::size_t slotCount = 64; ///< Packets of the backend server between two flushes.
constexpr std::size_t bufferSlack
    = 128; ///< Bytes beyond the MTU, so that a packet that exceeds the MTU is received whole.
constexpr std::size_t maxBatchesPerReceive = 16;

// The kernel keeps the state of the flows, so this class reports no end of a flow. The directory detects it
// by FIN, RST and its idle timeout.
class TunDelivery : public Delivery
{
public:
    TunDelivery(const TunDeliveryOptions &options, FileDescriptor device)
        : m_device(std::move(device))
        , m_slotSize(ReceiveBatch::headroom + options.mtu + bufferSlack)
        , m_buffers(slotCount * m_slotSize)
    {
    }

    int pollDescriptor() const override
    {
        return m_device.value();
    }

    std::size_t openFlowCount() const override
    {
        return 0;
    }

    bool deliver(std::span<const std::uint8_t> packet, const ParsedPacket & /*parsed*/,
                 TimePoint /*now*/) override
    {
        return ::write(m_device.value(), packet.data(), packet.size()) >= 0;
    }

    void receive(ServerPacketSink &sink, TimePoint /*now*/) override
    {
        for (std::size_t batch = 0; batch < maxBatchesPerReceive; ++batch) {
            const bool more = receiveBatch(sink);
            sink.flush();
            if (!more) {
                return;
            }
        }
    }

    void expireFlows(ServerPacketSink & /*sink*/, TimePoint /*now*/) override
    {
    }

private:
    bool receiveBatch(ServerPacketSink &sink)
    {
        for (std::size_t slot = 0; slot < slotCount; ++slot) {
            std::uint8_t *const start = m_buffers.data() + slot * m_slotSize + ReceiveBatch::headroom;
            const auto size = ::read(m_device.value(), start, m_slotSize - ReceiveBatch::headroom);
            if (size < 0) {
                return false;
            }
            const std::span packet(start, static_cast<std::size_t>(size));
            ParsedPacket parsed;
            if (const auto fault = parsePacket(packet, parsed); fault != PacketFault::None) {
                sink.handleMalformed(fault);
                continue;
            }
            sink.handleServerPacket(packet, parsed);
        }
        return true;
    }

    FileDescriptor m_device;
    std::size_t m_slotSize; ///< Bytes, headroom included.
    std::vector<std::uint8_t> m_buffers; ///< `slotCount` slots for received packets.
};

} // namespace

Result<std::unique_ptr<Delivery>> makeTunDelivery(const TunDeliveryOptions &options)
{
    ifreq request{};
    if (options.device.size() >= sizeof(request.ifr_name)) {
        return fail(Code::SocketFailed,
                    fmt::format("name of TUN device \"{}\" is longer than 15 bytes", options.device));
    }
    FileDescriptor device(::open("/dev/net/tun", O_RDWR | O_NONBLOCK | O_CLOEXEC));
    request.ifr_flags = IFF_TUN | IFF_NO_PI;
    std::memcpy(request.ifr_name, options.device.data(), options.device.size());
    if (!device || ::ioctl(device.value(), TUNSETIFF, &request) != 0) {
        const auto code = errno == EPERM || errno == EACCES ? Code::NotPermitted : Code::SocketFailed;
        return fail(
            code,
            fmt::format("TUN device \"{}\" cannot be opened: {}", options.device, std::strerror(errno)));
    }
    return std::unique_ptr<Delivery>(std::make_unique<TunDelivery>(options, std::move(device)));
}

} // namespace oriolelever
