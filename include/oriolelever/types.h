/// Identifiers, network addresses and time types that all modules share.
#pragma once

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace oriolelever {

/// Monotonic time. Functions that decide take it as an argument, so that tests and simulations can pass
/// virtual time.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, std::chrono::nanoseconds>;
using Duration = std::chrono::nanoseconds;

/// 64-bit identifier derived from a name; identifiers with different tags do not convert to each other.
template<typename Tag>
struct Id
{
    std::uint64_t value = 0; ///< Hash of the name; 0 if unset.

    auto operator<=>(const Id &) const = default;

    explicit operator bool() const
    {
        return value != 0;
    }
};

struct ServiceTag;
struct ServerTag;
struct ZoneTag;
struct NodeTag;

/// A service: one virtual address, protocol and port.
using ServiceId = Id<ServiceTag>;
/// A backend server, together with the agent beside it.
using ServerId = Id<ServerTag>;
/// An availability zone.
using ZoneId = Id<ZoneTag>;
/// Any process of the system: a balancer or an agent.
using NodeId = Id<NodeTag>;

/// Hash of a name (xxHash3, 64 bits); never 0.
std::uint64_t hashName(std::string_view name);

/// Identifier of the service, server, zone or node called `name`.
///
///     const auto service = idOf<ServiceId>("sportello");
template<typename IdType>
IdType idOf(std::string_view name)
{
    return IdType{hashName(name)};
}

/// Distinguishes the starts of a process: a later start of the same node has a larger value.
using Incarnation = std::uint64_t;

/// An IPv6 address, or an IPv4 address in its mapped form.
struct IpAddress
{
    std::array<std::uint8_t, 16> bytes{}; ///< In network byte order.

    auto operator<=>(const IpAddress &) const = default;
    bool isV4() const;
};

struct AddressHash
{
    std::size_t operator()(const IpAddress &address) const noexcept;
};

/// An address and a port; port 0 means none.
struct Endpoint
{
    IpAddress address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint &) const = default;
};

/// Parses "192.0.2.1" or "2001:db8::1"; false leaves `out` unchanged.
bool parseIpAddress(std::string_view text, IpAddress &out);
/// Parses "192.0.2.1:80" or "[2001:db8::1]:80"; false leaves `out` unchanged.
bool parseEndpoint(std::string_view text, Endpoint &out);
/// Converts an IPv4 address to a number in host byte order, and back; `address` must be IPv4.
std::uint32_t ipv4Number(const IpAddress &address);
IpAddress ipv4Address(std::uint32_t number);
std::string toString(const IpAddress &address);
std::string toString(const Endpoint &endpoint);

} // namespace oriolelever

template<typename Tag>
struct std::hash<oriolelever::Id<Tag>>
{
    std::size_t operator()(const oriolelever::Id<Tag> &id) const noexcept
    {
        return static_cast<std::size_t>(id.value);
    }
};
