/// Counters of the packet path. Every packet that is neither relayed nor delivered is counted under its
/// reason.
#pragma once

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <string_view>

#include "oriolelever/directory.h"
#include "oriolelever/gue.h"
#include "oriolelever/packet.h"

namespace oriolelever {

/// What is counted: packets, unless the comment says otherwise.
enum class PathEvent : std::uint8_t {
    Received, ///< Datagrams received by the data socket, control messages included.
    Relayed, ///< Balancer: sent to an agent.
    Oversized, ///< Datagrams longer than the receive buffer; dropped.
    SendRefused, ///< Datagrams that the kernel refused to send.
    UnknownService, ///< Balancer: no service has the packet's address, port and protocol.
    NoServer, ///< Balancer: no server of the service is reachable.
    TooBig, ///< Longer than the MTU with the outer headers; answered by an ICMP error where possible.
    StaleNotice, ///< `ControlType::StaleRoster` messages, sent by an agent or received.
    WrongTargetNotice, ///< `ControlType::WrongTarget` messages, sent by an agent or received.
    WrongAddress, ///< Agent: not for the address or protocol of its service.
    Delivered, ///< Agent: sent to the backend server.
    DeliveryFailed, ///< Agent: refused by the operating system when sent to the backend server.
    Forwarded, ///< Agent: sent to another agent.
    Held, ///< Agent: kept until the directory decides on them.
    HoldFull, ///< Agent: dropped because no hold buffer was free or the packet did not fit into one.
    ResetSent, ///< Agent: TCP RST sent to `returnEndpoint`.
    UnknownDatagram, ///< Agent: of unknown flows, dropped because no RST can answer them, such as UDP.
    Answered, ///< Agent: from the backend server, sent to `returnEndpoint`.
    ForeignAnswer, ///< Agent: from the backend server, but not of its service or of the socket's flow.
    MssClamped, ///< Agent: SYN packets whose MSS option was lowered.
    MessageSent, ///< Agent: directory messages.
    MessageReceived, ///< Agent: directory messages.
    MessageMalformed, ///< Agent: directory messages that could not be decoded, or were too long to send.
    FlowOpened, ///< Agent: flows for which a socket was opened.
    FlowClosed, ///< Agent: flows whose socket was closed.
};

constexpr std::size_t pathEventCount = static_cast<std::size_t>(PathEvent::FlowClosed) + 1;

/// The name of the counter in metrics and status.
std::string_view toString(PathEvent event);

/// Counters that one thread writes and any thread may read.
class PathCounters
{
public:
    void count(PathEvent event, std::uint64_t amount = 1)
    {
        add(m_events[static_cast<std::size_t>(event)], amount);
    }

    void count(GueFault fault)
    {
        add(m_gueFaults[static_cast<std::size_t>(fault)], 1);
    }

    void count(PacketFault fault)
    {
        add(m_packetFaults[static_cast<std::size_t>(fault)], 1);
    }

    void count(DropReason reason)
    {
        add(m_drops[static_cast<std::size_t>(reason)], 1);
    }

    std::uint64_t value(PathEvent event) const
    {
        return m_events[static_cast<std::size_t>(event)].load(std::memory_order_relaxed);
    }

    std::uint64_t value(GueFault fault) const
    {
        return m_gueFaults[static_cast<std::size_t>(fault)].load(std::memory_order_relaxed);
    }

    std::uint64_t value(PacketFault fault) const
    {
        return m_packetFaults[static_cast<std::size_t>(fault)].load(std::memory_order_relaxed);
    }

    std::uint64_t value(DropReason reason) const
    {
        return m_drops[static_cast<std::size_t>(reason)].load(std::memory_order_relaxed);
    }

    /// Calls `visit(kind, name, value)` for every counter; kind is "event", "encapsulation", "packet" or
    /// "drop".
    void forEach(const std::function<void(std::string_view, std::string_view, std::uint64_t)> &visit) const;

private:
    using Counter = std::atomic<std::uint64_t>;

    static void add(Counter &counter, std::uint64_t amount)
    {
        counter.store(counter.load(std::memory_order_relaxed) + amount, std::memory_order_relaxed);
    }

    std::array<Counter, pathEventCount> m_events{};
    std::array<Counter, gueFaultCount> m_gueFaults{};
    std::array<Counter, packetFaultCount> m_packetFaults{};
    std::array<Counter, dropReasonCount> m_drops{};
};

} // namespace oriolelever
