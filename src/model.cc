#include "oriolelever/model.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "model.pb.h"
#include "oriolelever/json-parts.h"

namespace oriolelever {

namespace {

using Json = nlohmann::json;

constexpr std::uint32_t maxZoneWeight = 1000;
constexpr std::uint32_t maxLimit = 1'000'000;
constexpr std::chrono::milliseconds maxTime = std::chrono::hours(24);

Error cellError(std::string_view column, const std::string &problem)
{
    return Error{Code::TableInvalid, fmt::format("column \"{}\" {}", column, problem)};
}

// Reads typed cells of a row, which is one JSON object. A missing cell leaves the default. Keeps the first
// error.
class CellReader
{
public:
    explicit CellReader(const std::string &text)
        : m_json(decodeJson(text))
    {
        if (!m_json.is_object()) {
            m_error = Error{Code::TableInvalid, "row is not a JSON object"};
        }
    }

    void read(const char *column, std::string &out)
    {
        if (const auto *cell = find(column)) {
            if (cell->is_string()) {
                out = cell->get<std::string>();
            } else {
                recordError(cellError(column, "allows a text only"));
            }
        }
    }

    void read(const char *column, std::uint32_t &out, std::uint32_t min, std::uint32_t max)
    {
        if (const auto *cell = find(column)) {
            const bool valid = cell->is_number_unsigned() && cell->get<std::uint64_t>() >= min
                && cell->get<std::uint64_t>() <= max;
            if (valid) {
                out = cell->get<std::uint32_t>();
            } else {
                recordError(
                    cellError(column, fmt::format("allows {} to {}, not {}", min, max, cell->dump())));
            }
        }
    }

    void read(const char *column, std::chrono::milliseconds &out)
    {
        std::uint32_t count = static_cast<std::uint32_t>(out.count());
        read(column, count, 0, static_cast<std::uint32_t>(maxTime.count()));
        out = std::chrono::milliseconds(count);
    }

    void readFraction(const char *column, double &out)
    {
        if (const auto *cell = find(column)) {
            const bool valid = cell->is_number() && cell->get<double>() >= 0 && cell->get<double>() < 1;
            if (valid) {
                out = cell->get<double>();
            } else {
                recordError(cellError(column, "allows 0 up to but not including 1, not " + cell->dump()));
            }
        }
    }

    void read(const char *column, bool &out)
    {
        if (const auto *cell = find(column)) {
            if (cell->is_boolean()) {
                out = cell->get<bool>();
            } else {
                recordError(cellError(column, "allows true or false, not " + cell->dump()));
            }
        }
    }

    void recordError(Error error)
    {
        if (m_error.code == Code::Ok) {
            m_error = std::move(error);
        }
    }

    // Fails with the first error, if any.
    Result<void> finish() const
    {
        if (m_error.code != Code::Ok) {
            return leaf::new_error(m_error);
        }
        return {};
    }

private:
    const Json *find(const char *column) const
    {
        if (!m_json.is_object()) {
            return nullptr;
        }
        const auto cell = m_json.find(column);
        return cell == m_json.end() ? nullptr : &*cell;
    }

    Json m_json;
    Error m_error{Code::Ok, {}};
};

void encodeEndpoint(proto::EndpointMessage &message, const Endpoint &endpoint)
{
    if (endpoint.port == 0) {
        return;
    }
    message.set_address(endpoint.address.bytes.data(), endpoint.address.bytes.size());
    message.set_port(endpoint.port);
}

bool decodeEndpoint(const proto::EndpointMessage &message, Endpoint &out)
{
    if (message.port() == 0) {
        return true;
    }
    if (message.address().size() != out.address.bytes.size() || message.port() > 0xffff) {
        return false;
    }
    std::copy(message.address().begin(), message.address().end(), out.address.bytes.begin());
    out.port = static_cast<std::uint16_t>(message.port());
    return true;
}

std::string tombstoneKey(const RecordKey &key)
{
    return fmt::format("{}/{}", static_cast<int>(key.kind), key.name);
}

// True if `record` is later than the entry or the deletion of the same name.
template<typename Entries>
bool isNewer(const Entries &entries, const ClusterView &view, const Record &record)
{
    const auto entry = entries.find(record.key.name);
    if (entry != entries.end()) {
        return entry->second.version < record.version;
    }
    const auto deleted = view.deleted.find(tombstoneKey(record.key));
    return deleted == view.deleted.end() || deleted->second < record.version;
}

template<typename Entries, typename Decode>
Result<bool> applyRow(Entries &entries, ClusterView &view, const Record &record, Decode decode)
{
    if (!isNewer(entries, view, record)) {
        return false;
    }
    if (record.deleted) {
        entries.erase(record.key.name);
        view.deleted[tombstoneKey(record.key)] = record.version;
        return true;
    }
    BOOST_LEAF_AUTO(row, decode(record.value));
    entries[record.key.name] = {std::move(row), record.version};
    view.deleted.erase(tombstoneKey(record.key));
    return true;
}

} // namespace

std::string encodeServiceRow(const ServiceRow &row)
{
    return Json{
        {"name", row.name},
        {"address", toString(row.address)},
        {"protocol", row.protocol == Protocol::Tcp ? "tcp" : "udp"},
        {"connection_limit", row.connectionLimit},
        {"slot_limit", row.slotLimit},
        {"ramp_ms", row.rampTime.count()},
        {"deadline_ms", row.deadline.count()},
        {"drain_ms", row.drainTime.count()},
        {"availability_target", row.availabilityTarget},
        {"latency_target_ms", row.latencyTarget.count()},
    }
        .dump();
}

Result<ServiceRow> decodeServiceRow(const std::string &json)
{
    ServiceRow row;
    std::string address;
    std::string protocol = "tcp";
    CellReader cells(json);
    cells.read("name", row.name);
    cells.read("address", address);
    cells.read("protocol", protocol);
    cells.read("connection_limit", row.connectionLimit, 1, maxLimit);
    cells.read("slot_limit", row.slotLimit, 1, maxLimit);
    cells.read("ramp_ms", row.rampTime);
    cells.read("deadline_ms", row.deadline);
    cells.read("drain_ms", row.drainTime);
    cells.readFraction("availability_target", row.availabilityTarget);
    cells.read("latency_target_ms", row.latencyTarget);
    if (!parseEndpoint(address, row.address)) {
        cells.recordError(cellError("address", "allows ADDRESS:PORT, not \"" + address + "\""));
    }
    if (protocol != "tcp" && protocol != "udp") {
        cells.recordError(cellError("protocol", "allows tcp or udp, not \"" + protocol + "\""));
    }
    row.protocol = protocol == "udp" ? Protocol::Udp : Protocol::Tcp;
    BOOST_LEAF_CHECK(cells.finish());
    return row;
}

std::string encodeZoneRow(const ZoneRow &row)
{
    return Json{
        {"name", row.name},
        {"state", row.state == ZoneState::In ? "in" : "out"},
        {"weight", row.weight},
        {"ramp_ms", row.rampTime.count()},
    }
        .dump();
}

Result<ZoneRow> decodeZoneRow(const std::string &json)
{
    ZoneRow row;
    std::string state = "in";
    CellReader cells(json);
    cells.read("name", row.name);
    cells.read("state", state);
    cells.read("weight", row.weight, 0, maxZoneWeight);
    cells.read("ramp_ms", row.rampTime);
    if (state != "in" && state != "out") {
        cells.recordError(cellError("state", "allows in or out, not \"" + state + "\""));
    }
    row.state = state == "out" ? ZoneState::Out : ZoneState::In;
    BOOST_LEAF_CHECK(cells.finish());
    return row;
}

std::string encodeServerRow(const ServerRow &row)
{
    return Json{{"name", row.name}, {"drain", row.drain}}.dump();
}

Result<ServerRow> decodeServerRow(const std::string &json)
{
    ServerRow row;
    CellReader cells(json);
    cells.read("name", row.name);
    cells.read("drain", row.drain);
    BOOST_LEAF_CHECK(cells.finish());
    return row;
}

std::string encodeAnnouncement(const Announcement &announcement)
{
    proto::AnnouncementMessage message;
    message.set_name(announcement.name);
    message.set_role(static_cast<std::uint32_t>(announcement.role));
    message.set_zone(announcement.zone);
    message.set_service(announcement.service);
    message.set_incarnation(announcement.incarnation);
    message.set_state(static_cast<std::uint32_t>(announcement.state));
    encodeEndpoint(*message.mutable_data(), announcement.data);
    encodeEndpoint(*message.mutable_control(), announcement.control);
    encodeEndpoint(*message.mutable_requests(), announcement.requests);
    encodeEndpoint(*message.mutable_handover(), announcement.handover);
    message.set_connection_limit(announcement.connectionLimit);
    message.set_slot_limit(announcement.slotLimit);
    return message.SerializeAsString();
}

Result<Announcement> decodeAnnouncement(const std::string &bytes)
{
    proto::AnnouncementMessage message;
    if (!message.ParseFromString(bytes)) {
        return fail(Code::MessageMalformed, "announcement is not a valid message");
    }
    Announcement announcement;
    const bool endpointsValid = decodeEndpoint(message.data(), announcement.data)
        && decodeEndpoint(message.control(), announcement.control)
        && decodeEndpoint(message.requests(), announcement.requests)
        && decodeEndpoint(message.handover(), announcement.handover);
    const bool enumsValid = message.role() >= static_cast<std::uint32_t>(NodeRole::Balancer)
        && message.role() <= static_cast<std::uint32_t>(NodeRole::Agent)
        && message.state() >= static_cast<std::uint32_t>(NodeState::Cold)
        && message.state() <= static_cast<std::uint32_t>(NodeState::Down);
    if (!endpointsValid || !enumsValid || message.name().empty()) {
        return fail(Code::MessageMalformed,
                    "announcement of \"" + message.name()
                        + "\" has an invalid endpoint, role or state, or an empty name");
    }
    announcement.name = message.name();
    announcement.role = static_cast<NodeRole>(message.role());
    announcement.zone = message.zone();
    announcement.service = message.service();
    announcement.incarnation = message.incarnation();
    announcement.state = static_cast<NodeState>(message.state());
    announcement.connectionLimit = message.connection_limit();
    announcement.slotLimit = message.slot_limit();
    return announcement;
}

Result<bool> applyRecord(ClusterView &view, const Record &record)
{
    switch (record.key.kind) {
    case RecordKind::Service:
        return applyRow(view.services, view, record, decodeServiceRow);
    case RecordKind::Zone:
        return applyRow(view.zones, view, record, decodeZoneRow);
    case RecordKind::Server:
        return applyRow(view.serverRows, view, record, decodeServerRow);
    case RecordKind::Node:
        return applyRow(view.nodes, view, record, decodeAnnouncement);
    }
    return fail(Code::MessageMalformed, "record \"" + record.key.name + "\" has an unknown kind");
}

bool isZoneOut(const ClusterView &view, const std::string &zone)
{
    const auto entry = view.zones.find(zone);
    return entry != view.zones.end() && entry->second.row.state == ZoneState::Out;
}

} // namespace oriolelever
