// Decoders of what comes from the users' platform, its backend servers and other nodes.
#include <cstdlib>

#include <nlohmann/json.hpp>

#include "boot-settings.h"
#include "documents.h"
#include "oriolelever/json-parts.h"
#include "oriolelever/peer-message.h"
#include "wire-packet.h"

namespace {

using namespace oriolelever;

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

void readPacket(std::span<const std::uint8_t> bytes)
{
    const auto format = platform::wirePacketFormat();
    Segment segment;
    if (!format.parse(bytes, segment)) {
        return;
    }
    std::vector<std::uint8_t> copy(bytes.begin(), bytes.end());
    format.setMark(copy, 0x01020304);
    format.clearReturned(copy);
    Segment again;
    require(format.parse(copy, again));
    require(again.mark == 0x01020304 && !again.returned && again.sequence == segment.sequence);
}

void readMessages(std::span<const std::uint8_t> bytes)
{
    std::array<std::uint8_t, maxPeerMessageSize> encoded{};
    Hello hello;
    if (decodeHello(bytes, hello)) {
        Hello again;
        require(decodeHello({encoded.data(), encodeHello(encoded, hello)}, again) && again == hello);
    }
    Report report;
    if (decodeReport(bytes, report)) {
        Report again;
        require(decodeReport({encoded.data(), encodeReport(encoded, report)}, again) && again == report);
    }
    FlowKey flow;
    IpAddress holder;
    static_cast<void>(decodeNote(bytes, flow, holder));
}

void readDocuments(const std::string &text)
{
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(platform::decodeHeartbeat("i-1", text));
            return {};
        },
        [](const Error &error) { require(!error.text.empty()); });
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(platform::parseBootSettings(text));
            return {};
        },
        [](const Error &error) { require(!error.text.empty()); });
    std::string problems;
    handleError(
        [&]() -> Result<void> {
            BOOST_LEAF_CHECK(platform::decodeConfiguration(text, {.revision = 1}, problems));
            return {};
        },
        [](const Error &error) { require(!error.text.empty()); });
}

void readParts(const std::string &text)
{
    const auto whole = nlohmann::json::parse(text, nullptr, false);
    require(!whole.is_object() || decodeMembers(text).is_object());
    const auto elements = splitArray(text);
    require(!whole.is_array() || (elements && elements->size() == whole.size()));
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    const std::span<const std::uint8_t> bytes(data, size);
    readPacket(bytes);
    readMessages(bytes);
    const std::string text(reinterpret_cast<const char *>(data), size);
    readDocuments(text);
    readParts(text);
    return 0;
}
