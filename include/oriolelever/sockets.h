/// UDP sockets with batched receive and send over buffers that are allocated once.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>

#include <sys/socket.h>

#include "oriolelever/codes.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// A file descriptor that is closed with its owner.
class FileDescriptor
{
public:
    FileDescriptor() = default;

    explicit FileDescriptor(int fd)
        : m_fd(fd)
    {
    }

    FileDescriptor(FileDescriptor &&other) noexcept;
    FileDescriptor &operator=(FileDescriptor &&other) noexcept;
    ~FileDescriptor();

    int value() const
    {
        return m_fd;
    }

    explicit operator bool() const
    {
        return m_fd >= 0;
    }

    void reset();

private:
    int m_fd = -1;
};

/// A socket address as the kernel takes it.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t size = 0;
};

/// Writes the kernel's form of `endpoint`; returns its size.
socklen_t writeSocketAddress(const Endpoint &endpoint, sockaddr_storage &out);
SocketAddress toSocketAddress(const Endpoint &endpoint);
Endpoint toEndpoint(const sockaddr_storage &storage);

struct DatagramOptions
{
    bool reusePort = false; ///< Several sockets share the port; the kernel spreads the senders.
    int bufferBytes = 4 << 20; ///< Asked of the kernel for each direction; it may give less.
    bool fragment = true; ///< Lets the kernel fragment outer packets that exceed the link's MTU.
};

/// Opens a non-blocking UDP socket bound to `local` (port 0 takes a free one). Fails with
/// `Code::AddressInUse` or `Code::SocketFailed`; the text names the address.
Result<FileDescriptor> openDatagramSocket(const Endpoint &local, const DatagramOptions &options = {});

/// The bound address of a socket.
Endpoint localEndpoint(const FileDescriptor &socket);

/// An event descriptor that wakes a thread in `poll`.
Result<FileDescriptor> openWakeDescriptor();
void wake(const FileDescriptor &descriptor);
void clearWake(const FileDescriptor &descriptor);

/// Buffers of one batched receive. Each datagram has `headroom` free bytes before it, so that a longer header
/// can be put there without a copy.
class ReceiveBatch
{
public:
    static constexpr std::size_t headroom = 64; ///< Bytes.

    /// `bufferSize` bounds a datagram; longer ones arrive cut and are reported as such.
    ReceiveBatch(std::size_t capacity, std::size_t bufferSize);
    ~ReceiveBatch();
    ReceiveBatch(const ReceiveBatch &) = delete;
    ReceiveBatch &operator=(const ReceiveBatch &) = delete;

    /// Receives what is there without waiting. Returns the number of datagrams, 0 when there is none.
    std::size_t receive(const FileDescriptor &socket);

    std::span<std::uint8_t> datagram(std::size_t index);
    const sockaddr_storage &sender(std::size_t index) const;
    bool isCut(std::size_t index) const;

private:
    struct Buffers;
    std::unique_ptr<Buffers> m_buffers;
};

/// Collects datagrams and sends them with few system calls. The bytes stay the caller's and must live until
/// `flush`.
class SendBatch
{
public:
    explicit SendBatch(std::size_t capacity);
    ~SendBatch();
    SendBatch(const SendBatch &) = delete;
    SendBatch &operator=(const SendBatch &) = delete;

    bool isFull() const;
    /// Adds a datagram; the batch must not be full.
    void add(std::span<const std::uint8_t> bytes, const Endpoint &to);
    /// Sends what was added. Returns how many datagrams the kernel refused.
    std::size_t flush(const FileDescriptor &socket);

private:
    struct Buffers;
    std::unique_ptr<Buffers> m_buffers;
};

} // namespace oriolelever
