#include "oriolelever/ping.h"

#include <sodium.h>

#include "control.pb.h"

namespace oriolelever {

namespace {

using Tag = std::array<unsigned char, crypto_shorthash_BYTES>;

Tag computeTag(std::string_view bytes, const TagKey &key)
{
    Tag tag{};
    crypto_shorthash(tag.data(), reinterpret_cast<const unsigned char *>(bytes.data()), bytes.size(),
                     key.data());
    return tag;
}

// False if there is no key.
bool isTagValid(std::string_view bytes, std::string_view tag, const std::optional<TagKey> &key)
{
    return key && sodium_memcmp(computeTag(bytes, *key).data(), tag.data(), sizeof(Tag)) == 0;
}

} // namespace

std::string encodePing(const Ping &ping, const TagKeys &keys)
{
    proto::PingMessage message;
    message.set_type(static_cast<std::uint32_t>(ping.type));
    message.set_from(ping.from);
    message.set_to(ping.to);
    message.set_nonce(ping.nonce);
    message.set_subject(ping.subject);
    message.set_reached(ping.reached);
    if (ping.endpoint.port != 0) {
        message.mutable_endpoint()->set_address(ping.endpoint.address.bytes.data(),
                                                ping.endpoint.address.bytes.size());
        message.mutable_endpoint()->set_port(ping.endpoint.port);
    }
    auto bytes = message.SerializeAsString();
    if (keys.current) {
        const auto tag = computeTag(bytes, *keys.current);
        bytes.append(reinterpret_cast<const char *>(tag.data()), tag.size());
    }
    return bytes;
}

std::optional<Ping> decodePing(std::string_view bytes, const TagKeys &keys)
{
    if (keys.current) {
        if (bytes.size() < sizeof(Tag)) {
            return std::nullopt;
        }
        const auto tag = bytes.substr(bytes.size() - sizeof(Tag));
        bytes.remove_suffix(sizeof(Tag));
        if (!isTagValid(bytes, tag, keys.current) && !isTagValid(bytes, tag, keys.previous)) {
            return std::nullopt;
        }
    }
    proto::PingMessage message;
    const bool valid = message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))
        && message.type() >= static_cast<std::uint32_t>(PingType::Ping)
        && message.type() <= static_cast<std::uint32_t>(PingType::Report);
    if (!valid) {
        return std::nullopt;
    }
    Ping ping{.type = static_cast<PingType>(message.type()),
              .from = message.from(),
              .to = message.to(),
              .nonce = message.nonce(),
              .subject = message.subject(),
              .reached = message.reached()};
    if (message.endpoint().address().size() == ping.endpoint.address.bytes.size()
        && message.endpoint().port() <= UINT16_MAX) {
        std::copy(message.endpoint().address().begin(), message.endpoint().address().end(),
                  ping.endpoint.address.bytes.begin());
        ping.endpoint.port = static_cast<std::uint16_t>(message.endpoint().port());
    }
    return ping;
}

} // namespace oriolelever
