#include "oriolelever/sockets.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/eventfd.h>
#include <sys/uio.h>
#include <unistd.h>

namespace oriolelever {

namespace {

constexpr std::size_t mappedIpv4Offset = 12; ///< Bytes before the IPv4 address in its mapped IPv6 form.

template<typename T>
sockaddr *toSockaddr(T &address)
{
    return reinterpret_cast<sockaddr *>(&address);
}

void setOption(int fd, int level, int name, int value)
{
    ::setsockopt(fd, level, name, &value, sizeof(value));
}

// Returns 0 or the error number.
int bindSocket(int fd, const SocketAddress &address)
{
    return ::bind(fd, reinterpret_cast<const sockaddr *>(&address.storage), address.size) == 0 ? 0 : errno;
}

} // namespace

FileDescriptor::FileDescriptor(FileDescriptor &&other) noexcept
    : m_fd(std::exchange(other.m_fd, -1))
{
}

FileDescriptor &FileDescriptor::operator=(FileDescriptor &&other) noexcept
{
    std::swap(m_fd, other.m_fd);
    return *this;
}

FileDescriptor::~FileDescriptor()
{
    reset();
}

void FileDescriptor::reset()
{
    if (m_fd >= 0) {
        ::close(std::exchange(m_fd, -1));
    }
}

socklen_t writeSocketAddress(const Endpoint &endpoint, sockaddr_storage &out)
{
    if (endpoint.address.isV4()) {
        auto &v4 = reinterpret_cast<sockaddr_in &>(out);
        v4.sin_family = AF_INET;
        v4.sin_port = htons(endpoint.port);
        std::memcpy(&v4.sin_addr, endpoint.address.bytes.data() + mappedIpv4Offset, sizeof(v4.sin_addr));
        return sizeof(v4);
    }
    auto &v6 = reinterpret_cast<sockaddr_in6 &>(out);
    v6.sin6_family = AF_INET6;
    v6.sin6_port = htons(endpoint.port);
    v6.sin6_flowinfo = 0;
    v6.sin6_scope_id = 0;
    std::memcpy(&v6.sin6_addr, endpoint.address.bytes.data(), sizeof(v6.sin6_addr));
    return sizeof(v6);
}

SocketAddress toSocketAddress(const Endpoint &endpoint)
{
    SocketAddress address;
    address.size = writeSocketAddress(endpoint, address.storage);
    return address;
}

Endpoint toEndpoint(const sockaddr_storage &storage)
{
    Endpoint endpoint;
    if (storage.ss_family == AF_INET) {
        const auto &v4 = reinterpret_cast<const sockaddr_in &>(storage);
        endpoint.address.bytes[10] = 0xff;
        endpoint.address.bytes[11] = 0xff;
        std::memcpy(endpoint.address.bytes.data() + mappedIpv4Offset, &v4.sin_addr, sizeof(v4.sin_addr));
        endpoint.port = ntohs(v4.sin_port);
        return endpoint;
    }
    const auto &v6 = reinterpret_cast<const sockaddr_in6 &>(storage);
    std::memcpy(endpoint.address.bytes.data(), &v6.sin6_addr, sizeof(v6.sin6_addr));
    endpoint.port = ntohs(v6.sin6_port);
    return endpoint;
}

Result<FileDescriptor> openDatagramSocket(const Endpoint &local, const DatagramOptions &options)
{
    const auto address = toSocketAddress(local);
    FileDescriptor socket(::socket(address.storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    if (!socket) {
        return fail(
            Code::SocketFailed,
            fmt::format("UDP socket for {} cannot be opened: {}", toString(local), std::strerror(errno)));
    }
    if (options.reusePort) {
        setOption(socket.value(), SOL_SOCKET, SO_REUSEPORT, 1);
    }
    setOption(socket.value(), SOL_SOCKET, SO_RCVBUF, options.bufferBytes);
    setOption(socket.value(), SOL_SOCKET, SO_SNDBUF, options.bufferBytes);
    // `allowFragmentation` concerns IPv4 only; IPv6 sockets keep the default of the system.
    if (local.address.isV4()) {
        setOption(socket.value(), IPPROTO_IP, IP_MTU_DISCOVER,
                  options.allowFragmentation ? IP_PMTUDISC_DONT : IP_PMTUDISC_DO);
    }
    const auto error = bindSocket(socket.value(), address);
    if (error != 0) {
        return fail(error == EADDRINUSE ? Code::AddressInUse : Code::SocketFailed,
                    fmt::format("address {} cannot be bound: {}", toString(local), std::strerror(error)));
    }
    return socket;
}

Endpoint localEndpoint(const FileDescriptor &socket)
{
    sockaddr_storage storage{};
    socklen_t size = sizeof(storage);
    ::getsockname(socket.value(), toSockaddr(storage), &size);
    return toEndpoint(storage);
}

bool dropNewConnections(int listener)
{
    constexpr std::uint32_t flagsOffset = 13; // In the TCP header.
    constexpr std::uint32_t synFlag = 0x02;
    constexpr std::uint32_t acceptAll = UINT32_MAX;
    std::array<sock_filter, 4> program{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, flagsOffset),
        BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, synFlag, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, 0),
        BPF_STMT(BPF_RET | BPF_K, acceptAll),
    }};
    const sock_fprog filter{.len = static_cast<unsigned short>(program.size()), .filter = program.data()};
    return ::setsockopt(listener, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) == 0;
}

bool hasPendingConnection(int listener)
{
    pollfd entry{.fd = listener, .events = POLLIN, .revents = 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLIN) != 0;
}

Result<FileDescriptor> openWakeDescriptor()
{
    FileDescriptor descriptor(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC));
    if (!descriptor) {
        return fail(Code::SocketFailed,
                    fmt::format("event descriptor cannot be created: {}", std::strerror(errno)));
    }
    return descriptor;
}

void wake(const FileDescriptor &descriptor)
{
    const std::uint64_t one = 1;
    [[maybe_unused]] const auto written = ::write(descriptor.value(), &one, sizeof(one));
}

void clearWake(const FileDescriptor &descriptor)
{
    std::uint64_t count = 0;
    [[maybe_unused]] const auto read = ::read(descriptor.value(), &count, sizeof(count));
}

struct ReceiveBatch::Buffers
{
    std::vector<std::uint8_t> memory; ///< Headroom and buffer of every datagram, one after another.
    std::vector<mmsghdr> messages;
    std::vector<iovec> vectors;
    std::vector<sockaddr_storage> senders;
};

ReceiveBatch::ReceiveBatch(std::size_t capacity, std::size_t bufferSize)
    : m_buffers(std::make_unique<Buffers>())
{
    const std::size_t stride = headroom + bufferSize;
    m_buffers->memory.resize(capacity * stride);
    m_buffers->messages.resize(capacity);
    m_buffers->vectors.resize(capacity);
    m_buffers->senders.resize(capacity);
    for (std::size_t i = 0; i < capacity; ++i) {
        m_buffers->vectors[i] = {m_buffers->memory.data() + i * stride + headroom, bufferSize};
        auto &header = m_buffers->messages[i].msg_hdr;
        header.msg_iov = &m_buffers->vectors[i];
        header.msg_iovlen = 1;
        header.msg_name = &m_buffers->senders[i];
    }
}

ReceiveBatch::~ReceiveBatch() = default;

std::size_t ReceiveBatch::receive(const FileDescriptor &socket)
{
    auto &messages = m_buffers->messages;
    for (auto &message : messages) {
        message.msg_hdr.msg_namelen = sizeof(sockaddr_storage);
    }
    const int count = ::recvmmsg(socket.value(), messages.data(), static_cast<unsigned>(messages.size()),
                                 MSG_DONTWAIT, nullptr);
    return count > 0 ? static_cast<std::size_t>(count) : 0;
}

std::span<std::uint8_t> ReceiveBatch::datagram(std::size_t index)
{
    return {static_cast<std::uint8_t *>(m_buffers->vectors[index].iov_base),
            m_buffers->messages[index].msg_len};
}

const sockaddr_storage &ReceiveBatch::sender(std::size_t index) const
{
    return m_buffers->senders[index];
}

bool ReceiveBatch::isTruncated(std::size_t index) const
{
    return (m_buffers->messages[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

struct SendBatch::Buffers
{
    std::vector<mmsghdr> messages;
    std::vector<iovec> vectors;
    std::vector<sockaddr_storage> addresses;
    std::size_t count = 0; ///< Datagrams added since the last flush.
};

SendBatch::SendBatch(std::size_t capacity)
    : m_buffers(std::make_unique<Buffers>())
{
    m_buffers->messages.resize(capacity);
    m_buffers->vectors.resize(capacity);
    m_buffers->addresses.resize(capacity);
    for (std::size_t i = 0; i < capacity; ++i) {
        auto &header = m_buffers->messages[i].msg_hdr;
        header.msg_iov = &m_buffers->vectors[i];
        header.msg_iovlen = 1;
        header.msg_name = &m_buffers->addresses[i];
    }
}

SendBatch::~SendBatch() = default;

bool SendBatch::isFull() const
{
    return m_buffers->count == m_buffers->messages.size();
}

void SendBatch::add(std::span<const std::uint8_t> bytes, const Endpoint &destination)
{
    const auto index = m_buffers->count++;
    m_buffers->vectors[index] = {const_cast<std::uint8_t *>(bytes.data()), bytes.size()};
    m_buffers->messages[index].msg_hdr.msg_namelen
        = writeSocketAddress(destination, m_buffers->addresses[index]);
}

std::size_t SendBatch::flush(const FileDescriptor &socket)
{
    const std::size_t count = std::exchange(m_buffers->count, 0);
    std::size_t processed = 0;
    std::size_t refused = 0;
    while (processed < count) {
        const int accepted = ::sendmmsg(socket.value(), m_buffers->messages.data() + processed,
                                        static_cast<unsigned>(count - processed), 0);
        if (accepted > 0) {
            processed += static_cast<std::size_t>(accepted);
            continue;
        }
        if (accepted < 0 && errno == EINTR) {
            continue;
        }
        // The kernel refused the first remaining datagram; skip it, the others may still be sent.
        ++refused;
        ++processed;
    }
    return refused;
}

} // namespace oriolelever
