/// Counters of the packet path; each packet that is not passed on is counted under one of them.
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

enum class PathEvent : std::uint8_t {
    Received, ///< Datagrams taken from the data socket.
    Relayed, ///< Balancer: packets sent to an agent.
    Cut, ///< Datagrams longer than the receive buffer.
    SendRefused, ///< Datagrams that the kernel did not take.
    UnknownService, ///< No service has the packet's address, port and protocol.
    NoServer, ///< No server of the service is reachable.
    TooBig, ///< Packets that do not fit with the outer header; answered by an ICMP error.
    StaleNotice, ///< Notices that a balancer decided by an old roster.
    WrongTargetNotice, ///< Notices that a packet met another service.
    WrongAddress, ///< Agent: the packet is not for the service's address.
    Delivered, ///< Agent: packets given to the backend server.
    DeliveryFailed, ///< Agent: packets that the backend server's side did not take.
    Forwarded, ///< Agent: packets passed on to another agent.
    Held, ///< Agent: packets kept until their bucket is granted.
    HoldFull, ///< Agent: packets dropped for want of a free buffer.
    ResetSent, ///< Agent: TCP RST sent to the caller's side.
    UnknownDatagram, ///< Agent: packets of unknown flows that no RST can answer.
    Answered, ///< Agent: packets of the backend server sent to the caller's side.
    ForeignAnswer, ///< Agent: packets of the backend server that belong to no flow of theirs.
    MssClamped,
    MessageSent, ///< Agent: directory messages.
    MessageReceived,
    MessageMalformed,
    FlowOpened, ///< Agent: flow sockets opened.
    FlowClosed, ///< Agent: flow sockets freed.
};

constexpr std::size_t pathEventCount = static_cast<std::size_t>(PathEvent::FlowClosed) + 1;

std::string_view toString(PathEvent event);

/// Counters with one writing thread; any thread may read.
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
