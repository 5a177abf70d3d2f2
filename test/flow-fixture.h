/// A cluster with one service that changes record by record, and endpoints and flows to test it with.
#pragma once

#include "oriolelever/placement.h"

namespace oriolelever::test {

inline const std::string serviceName = "sportello";

/// Returns 10.0.0.`last` with this port.
inline Endpoint endpoint(std::uint8_t last, std::uint16_t port)
{
    Endpoint out{.port = port};
    out.address.bytes = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 10, 0, 0, last};
    return out;
}

/// Returns a flow of the service; different numbers below 15 million give different callers.
inline FlowKey flowKey(std::uint32_t number)
{
    Endpoint caller{.port = static_cast<std::uint16_t>(1024 + number % 60000)};
    caller.address.bytes = {0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0xff, 0xff, 172, 16, 0, 0};
    caller.address.bytes[15] = static_cast<std::uint8_t>(number / 60000);
    return {.caller = caller, .service = endpoint(100, 443), .protocol = Protocol::Tcp};
}

/// The routes of a cluster after each record that the functions apply.
struct FlowCluster
{
    ClusterView view;
    RoutingBuilder builder;
    std::shared_ptr<const Routing> routing;
    std::vector<Record> allRecords; ///< Applied so far.
    std::uint64_t sequence = 0;

    FlowCluster()
    {
        const ServiceRow row{.name = serviceName, .address = endpoint(100, 443)};
        put({RecordKind::Service, serviceName}, {0, ++sequence}, encodeServiceRow(row));
    }

    void put(const RecordKey &key, const RecordVersion &version, const std::string &value)
    {
        const Record record{.key = key, .version = version, .value = value};
        const bool applied = handleError([&] { return applyRecord(view, record); },
                                         [](const Error &) -> bool { return false; });
        if (!applied) {
            return;
        }
        allRecords.push_back(record);
        routing = updateRouting(builder, view, {record}, TimePoint{});
    }

    /// Announces an agent; `name` is a letter and a number, which selects its data endpoint.
    void announce(const std::string &name, const std::string &zone, NodeState state,
                  const std::string &service = serviceName, Incarnation incarnation = 1)
    {
        const auto number = static_cast<std::uint8_t>(std::stoi(name.substr(1)));
        const Announcement announcement{.name = name,
                                        .zone = zone,
                                        .service = service,
                                        .incarnation = incarnation,
                                        .state = state,
                                        .data = endpoint(number, 6080)};
        put({RecordKind::Node, name}, {incarnation, ++sequence}, encodeAnnouncement(announcement));
    }

    /// Announces the servers s0, s1 and so on, spread over zone-0 to zone-2.
    void addServers(int count)
    {
        for (int i = 0; i < count; ++i) {
            announce("s" + std::to_string(i), "zone-" + std::to_string(i % 3), NodeState::Ready);
        }
    }

    void setZone(const std::string &name, ZoneState state, std::uint32_t weight = 100)
    {
        const ZoneRow row{.name = name, .state = state, .weight = weight};
        put({RecordKind::Zone, name}, {0, ++sequence}, encodeZoneRow(row));
    }

    /// Returns the current route of the service, or null.
    std::shared_ptr<const ServiceRoute> route() const
    {
        const auto *const found = findRoute(*routing, endpoint(100, 443), Protocol::Tcp);
        return found != nullptr ? *found : nullptr;
    }
};

} // namespace oriolelever::test
