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

constexpr std::size_t slotCount = 64; ///< Answers between two flushes.
constexpr std::size_t bufferSlack = 128;
constexpr std::size_t maxBatches = 16;

// Flows end in the kernel; the directory learns of it by FIN, RST and silence.
class TunDelivery : public Delivery
{
public:
    TunDelivery(const TunDeliveryOptions &options, FileDescriptor device)
        : m_device(std::move(device))
        , m_stride(ReceiveBatch::headroom + options.mtu + bufferSlack)
        , m_memory(slotCount * m_stride)
    {
    }

    int pollDescriptor() const override
    {
        return m_device.value();
    }

    std::size_t openFlows() const override
    {
        return 0;
    }

    bool deliver(std::span<const std::uint8_t> packet, const ParsedPacket & /*parsed*/,
                 TimePoint /*now*/) override
    {
        return ::write(m_device.value(), packet.data(), packet.size()) >= 0;
    }

    void receive(AnswerSink &sink, TimePoint /*now*/) override
    {
        for (std::size_t batch = 0; batch < maxBatches; ++batch) {
            const bool more = receiveBatch(sink);
            sink.flush();
            if (!more) {
                return;
            }
        }
    }

    void sweep(AnswerSink & /*sink*/, TimePoint /*now*/) override
    {
    }

private:
    bool receiveBatch(AnswerSink &sink)
    {
        for (std::size_t slot = 0; slot < slotCount; ++slot) {
            std::uint8_t *const start = m_memory.data() + slot * m_stride + ReceiveBatch::headroom;
            const auto size = ::read(m_device.value(), start, m_stride - ReceiveBatch::headroom);
            if (size < 0) {
                return false;
            }
            const std::span packet(start, static_cast<std::size_t>(size));
            ParsedPacket parsed;
            if (const auto fault = parsePacket(packet, parsed); fault != PacketFault::None) {
                sink.malformed(fault);
                continue;
            }
            sink.answer(packet, parsed);
        }
        return true;
    }

    FileDescriptor m_device;
    std::size_t m_stride;
    std::vector<std::uint8_t> m_memory;
};

} // namespace

Result<std::unique_ptr<Delivery>> makeTunDelivery(const TunDeliveryOptions &options)
{
    ifreq request{};
    if (options.device.size() >= sizeof(request.ifr_name)) {
        return fail(Code::SocketFailed, fmt::format("TUN device \"{}\" has too long a name", options.device));
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
