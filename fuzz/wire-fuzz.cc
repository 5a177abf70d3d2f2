// Decoders of what comes from the users' platform, its backend servers and other nodes.
#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "boot-settings.h"
#include "documents.h"
#include "json-text.h"
#include "oriolelever/json-parts.h"
#include "oriolelever/peer-message.h"
#include "wire-packet.h"

namespace {

using namespace oriolelever;
using Json = nlohmann::json;

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

struct Reference
{
    Json value; // Discarded if the text does not follow RFC 8259.
    int depth = 0; // Levels of nesting in the text.
};

// nlohmann::json takes a zero byte as the end of the text and skips a byte order mark at its very start. RFC
// 8259 has a place for neither, so the one is replaced by a control character that is refused in the same
// places, and white space goes before the other.
Reference parseReference(const std::string &text)
{
    auto copy = ' ' + text;
    std::ranges::replace(copy, '\0', '\x01');
    Reference reference;
    const auto measure = [&](int depth, Json::parse_event_t event, const Json &) {
        const bool isStart
            = event == Json::parse_event_t::array_start || event == Json::parse_event_t::object_start;
        reference.depth = std::max(reference.depth, isStart ? depth + 1 : 0);
        return true;
    };
    reference.value = Json::parse(copy, measure, false);
    return reference;
}

// The value of an array or object, decoded part by part, or of any other text; discarded if a part is.
Json decodeByParts(const std::string &text)
{
    if (const auto elements = splitArray(text)) {
        auto array = Json::array();
        for (const auto &element : *elements) {
            array.push_back(decodeJson(element));
            if (array.back().is_discarded()) {
                return array.back();
            }
        }
        return array;
    }
    if (const auto members = splitObject(text)) {
        auto object = Json::object();
        for (const auto &member : *members) {
            const auto name = decodeJson(fmt::format("\"{}\"", member.name));
            auto value = decodeJson(member.value);
            if (name.is_discarded() || value.is_discarded()) {
                return Json(Json::value_t::discarded);
            }
            object[name.get<std::string>()] = std::move(value);
        }
        return object;
    }
    return decodeJson(text);
}

// `maxDepth` is the nesting that `decoded` may have; a text that is nested deeper is discarded.
bool isDecodedAs(const Json &decoded, const Reference &reference, int maxDepth)
{
    if (reference.value.is_discarded() || reference.depth > maxDepth) {
        return decoded.is_discarded();
    }
    return decoded == reference.value;
}

void readParts(const std::string &text)
{
    const auto reference = parseReference(text);
    const auto &whole = reference.value;
    require(isDecodedAs(decodeJson(text), reference, maxJsonDepth));
    require(isDecodedAs(decodeByParts(text), reference, maxJsonDepth + 1));
    const bool isNull = whole.is_discarded() || whole.is_null() || reference.depth > maxJsonDepth;
    // RapidJSON refuses a zero with a large exponent, such as 0e400.
    const bool hasZeroWithExponent = text.find("0e") != text.npos || text.find("0E") != text.npos;
    require(platform::parseJson(text).IsNull() == isNull || (!isNull && hasZeroWithExponent));

    // Parts that cannot be decoded do not keep the text from being split.
    const auto elements = splitArray(text);
    require(!whole.is_array() || (elements && elements->size() == whole.size()));
    const auto decoded = decodeMembers(text);
    require(decoded.is_object() == splitObject(text).has_value());
    if (!whole.is_object()) {
        return;
    }
    require(decoded.size() == whole.size());
    for (const auto &[name, value] : whole.items()) {
        const bool isTooDeep = reference.depth > maxJsonDepth && decoded[name].is_null();
        require(isTooDeep || decoded[name] == value);
    }
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
