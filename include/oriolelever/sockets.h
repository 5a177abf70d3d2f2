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

/// Owns a file descriptor and closes it on destruction.
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

    /// The descriptor, or -1 if there is none.
    int value() const
    {
        return m_fd;
    }

    explicit operator bool() const
    {
        return m_fd >= 0;
    }

    /// Closes the descriptor.
    void reset();

private:
    int m_fd = -1;
};

/// A socket address in the format of the system calls.
struct SocketAddress
{
    sockaddr_storage storage{};
    socklen_t size = 0; ///< Bytes of `storage` that are in use.
};

/// Writes `endpoint` as a socket address; returns its size in bytes.
socklen_t writeSocketAddress(const Endpoint &endpoint, sockaddr_storage &out);
SocketAddress toSocketAddress(const Endpoint &endpoint);
/// Converts an IPv4 or IPv6 socket address back to an endpoint.
Endpoint toEndpoint(const sockaddr_storage &storage);

struct DatagramOptions
{
    bool reusePort = false; ///< Several sockets may share the port; the kernel distributes the senders
                            ///< over them.
    int bufferBytes = 4 << 20; ///< Requested size of the receive and of the send buffer; the kernel may
                               ///< grant less.
    bool allowFragmentation = true; ///< Fragment IPv4 packets that exceed the link's MTU.
};

/// Opens a non-blocking UDP socket bound to `local` (port 0 selects a free port). Fails with
/// `Code::AddressInUse` or `Code::SocketFailed`; the text names the address.
Result<FileDescriptor> openDatagramSocket(const Endpoint &local, const DatagramOptions &options = {});

/// The address and port that a socket is bound to.
Endpoint localEndpoint(const FileDescriptor &socket);

/// Makes the kernel drop the packets that would open further connections to a listening TCP socket.
/// Connections that are being opened or wait to be accepted are not affected: closing the socket would reset
/// them. Returns false if the kernel does not support it.
bool dropNewConnections(int listener);
/// Whether a connection waits to be accepted.
bool hasPendingConnection(int listener);

/// Creates an event descriptor, with which one thread ends the `poll` of another.
Result<FileDescriptor> openWakeDescriptor();
/// Makes the descriptor readable.
void wake(const FileDescriptor &descriptor);
/// Makes the descriptor unreadable again until the next `wake`.
void clearWake(const FileDescriptor &descriptor);

/// Buffers of one batched receive. Each datagram has `headroom` free bytes before it, so that a longer header
/// can be prepended without copying the datagram.
class ReceiveBatch
{
public:
    static constexpr std::size_t headroom = 64; ///< Free bytes before each datagram.

    /// Allocates buffers for `capacity` datagrams of up to `bufferSize` bytes; longer datagrams are
    /// truncated.
    ReceiveBatch(std::size_t capacity, std::size_t bufferSize);
    ~ReceiveBatch();
    ReceiveBatch(const ReceiveBatch &) = delete;
    ReceiveBatch &operator=(const ReceiveBatch &) = delete;

    /// Receives datagrams that are queued, without blocking, and replaces those of the call before. Returns
    /// their number, 0 if none is queued.
    std::size_t receive(const FileDescriptor &socket);

    std::span<std::uint8_t> datagram(std::size_t index);
    const sockaddr_storage &sender(std::size_t index) const;
    /// True if the datagram was longer than its buffer.
    bool isTruncated(std::size_t index) const;

private:
    struct Buffers;
    std::unique_ptr<Buffers> m_buffers;
};

/// Collects datagrams and sends them with few system calls. Their bytes are not copied and must stay valid
/// until `flush`.
class SendBatch
{
public:
    explicit SendBatch(std::size_t capacity);
    ~SendBatch();
    SendBatch(const SendBatch &) = delete;
    SendBatch &operator=(const SendBatch &) = delete;

    bool isFull() const;
    /// Adds a datagram; the batch must not be full.
    void add(std::span<const std::uint8_t> bytes, const Endpoint &destination);
    /// Sends the added datagrams and empties the batch. Returns how many of them the kernel refused.
    std::size_t flush(const FileDescriptor &socket);

private:
    struct Buffers;
    std::unique_ptr<Buffers> m_buffers;
};

} // namespace oriolelever
