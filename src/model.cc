#include "oriolelever/model.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "model.pb.h"

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

// Reads typed cells from one JSON object; the first problem is kept.
class CellReader
{
public:
    explicit CellReader(const std::string &text)
        : m_json(Json::parse(text, nullptr, false))
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
                note(cellError(column, "is not a text"));
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
                note(cellError(column, fmt::format("allows {} to {}, not {}", min, max, cell->dump())));
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
                note(cellError(column, "allows 0 to below 1, not " + cell->dump()));
            }
        }
    }

    void read(const char *column, bool &out)
    {
        if (const auto *cell = find(column)) {
            if (cell->is_boolean()) {
                out = cell->get<bool>();
            } else {
                note(cellError(column, "allows true or false, not " + cell->dump()));
            }
        }
    }

    void note(Error error)
    {
        if (m_error.code == Code::Ok) {
            m_error = std::move(error);
        }
    }

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

void fill(proto::EndpointMessage &message, const Endpoint &endpoint)
{
    if (endpoint.port == 0) {
        return;
    }
    message.set_address(endpoint.address.bytes.data(), endpoint.address.bytes.size());
    message.set_port(endpoint.port);
}

bool extract(const proto::EndpointMessage &message, Endpoint &out)
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

std::string deletedKey(const RecordKey &key)
{
    return fmt::format("{}/{}", static_cast<int>(key.kind), key.name);
}

template<typename Entries>
bool isNewer(const Entries &entries, const ClusterView &view, const Record &record)
{
    const auto entry = entries.find(record.key.name);
    if (entry != entries.end()) {
        return entry->second.version < record.version;
    }
    const auto deleted = view.deleted.find(deletedKey(record.key));
    return deleted == view.deleted.end() || deleted->second < record.version;
}

template<typename Entries, typename Decode>
Result<bool> apply(Entries &entries, ClusterView &view, const Record &record, Decode decode)
{
    if (!isNewer(entries, view, record)) {
        return false;
    }
    if (record.deleted) {
        entries.erase(record.key.name);
        view.deleted[deletedKey(record.key)] = record.version;
        return true;
    }
    BOOST_LEAF_AUTO(row, decode(record.value));
    entries[record.key.name] = {std::move(row), record.version};
    view.deleted.erase(deletedKey(record.key));
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
        cells.note(cellError("address", "allows ADDRESS:PORT, not \"" + address + "\""));
    }
    if (protocol != "tcp" && protocol != "udp") {
        cells.note(cellError("protocol", "allows tcp or udp, not \"" + protocol + "\""));
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
        cells.note(cellError("state", "allows in or out, not \"" + state + "\""));
    }
    row.state = state == "out" ? ZoneState::Out : ZoneState::In;
    BOOST_LEAF_CHECK(cells.finish());
    return row;
}

std::string encodeServerOrder(const ServerOrder &order)
{
    return Json{{"name", order.name}, {"drain", order.drain}}.dump();
}

Result<ServerOrder> decodeServerOrder(const std::string &json)
{
    ServerOrder order;
    CellReader cells(json);
    cells.read("name", order.name);
    cells.read("drain", order.drain);
    BOOST_LEAF_CHECK(cells.finish());
    return order;
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
    fill(*message.mutable_data(), announcement.data);
    fill(*message.mutable_control(), announcement.control);
    fill(*message.mutable_requests(), announcement.requests);
    fill(*message.mutable_handover(), announcement.handover);
    message.set_connection_limit(announcement.connectionLimit);
    message.set_slot_limit(announcement.slotLimit);
    return message.SerializeAsString();
}

Result<Announcement> decodeAnnouncement(const std::string &bytes)
{
    proto::AnnouncementMessage message;
    if (!message.ParseFromString(bytes)) {
        return fail(Code::MessageMalformed, "announcement cannot be decoded");
    }
    Announcement announcement;
    const bool endpointsValid = extract(message.data(), announcement.data)
        && extract(message.control(), announcement.control)
        && extract(message.requests(), announcement.requests)
        && extract(message.handover(), announcement.handover);
    const bool enumsValid = message.role() >= static_cast<std::uint32_t>(NodeRole::Balancer)
        && message.role() <= static_cast<std::uint32_t>(NodeRole::Agent)
        && message.state() >= static_cast<std::uint32_t>(NodeState::Cold)
        && message.state() <= static_cast<std::uint32_t>(NodeState::Down);
    if (!endpointsValid || !enumsValid || message.name().empty()) {
        return fail(Code::MessageMalformed, "announcement of \"" + message.name() + "\" contradicts itself");
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
        return apply(view.services, view, record, decodeServiceRow);
    case RecordKind::Zone:
        return apply(view.zones, view, record, decodeZoneRow);
    case RecordKind::Server:
        return apply(view.orders, view, record, decodeServerOrder);
    case RecordKind::Node:
        return apply(view.nodes, view, record, decodeAnnouncement);
    }
    return fail(Code::MessageMalformed, "record \"" + record.key.name + "\" has an unknown kind");
}

bool isZoneOut(const ClusterView &view, const std::string &zone)
{
    const auto entry = view.zones.find(zone);
    return entry != view.zones.end() && entry->second.row.state == ZoneState::Out;
}

} // namespace oriolelever
