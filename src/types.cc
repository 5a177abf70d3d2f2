#include "oriolelever/types.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <xxhash.h>

#include "oriolelever/bytes.h"

namespace oriolelever {

namespace {

constexpr std::array<std::uint8_t, 12> mappedPrefix = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff};

bool parsePort(std::string_view text, std::uint16_t &out)
{
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), port);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return false;
    }
    out = port;
    return true;
}

} // namespace

std::uint64_t hashName(std::string_view name)
{
    const std::uint64_t hash = XXH3_64bits(name.data(), name.size());
    return hash == 0 ? 1 : hash;
}

std::size_t AddressHash::operator()(const IpAddress &address) const noexcept
{
    return XXH3_64bits(address.bytes.data(), address.bytes.size());
}

bool IpAddress::isV4() const
{
    return std::equal(mappedPrefix.begin(), mappedPrefix.end(), bytes.begin());
}

std::uint32_t ipv4Number(const IpAddress &address)
{
    return read32(address.bytes.data() + mappedPrefix.size());
}

IpAddress ipv4Address(std::uint32_t number)
{
    IpAddress address;
    std::copy(mappedPrefix.begin(), mappedPrefix.end(), address.bytes.begin());
    write32(address.bytes.data() + mappedPrefix.size(), number);
    return address;
}

bool parseIpAddress(std::string_view text, IpAddress &out)
{
    const std::string copy(text);
    IpAddress parsed;
    if (inet_pton(AF_INET, copy.c_str(), parsed.bytes.data() + mappedPrefix.size()) == 1) {
        std::copy(mappedPrefix.begin(), mappedPrefix.end(), parsed.bytes.begin());
        out = parsed;
        return true;
    }
    if (inet_pton(AF_INET6, copy.c_str(), parsed.bytes.data()) == 1) {
        out = parsed;
        return true;
    }
    return false;
}

bool parseEndpoint(std::string_view text, Endpoint &out)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    auto host = text.substr(0, colon);
    const bool bracketed = host.size() >= 2 && host.front() == '[' && host.back() == ']';
    if (bracketed) {
        host = host.substr(1, host.size() - 2);
    }
    Endpoint parsed;
    if (!parseIpAddress(host, parsed.address) || !parsePort(text.substr(colon + 1), parsed.port)) {
        return false;
    }
    if (parsed.address.isV4() == bracketed) {
        return false;
    }
    out = parsed;
    return true;
}

std::string toString(const IpAddress &address)
{
    std::array<char, INET6_ADDRSTRLEN> text{};
    if (address.isV4()) {
        inet_ntop(AF_INET, address.bytes.data() + mappedPrefix.size(), text.data(), text.size());
    } else {
        inet_ntop(AF_INET6, address.bytes.data(), text.data(), text.size());
    }
    return text.data();
}

std::string toString(const Endpoint &endpoint)
{
    const auto port = std::to_string(endpoint.port);
    if (endpoint.address.isV4()) {
        return toString(endpoint.address) + ":" + port;
    }
    return "[" + toString(endpoint.address) + "]:" + port;
}

} // namespace oriolelever
