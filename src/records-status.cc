#include "oriolelever/records-status.h"

#include <charconv>

#include <fmt/format.h>

namespace oriolelever {

namespace {

using Json = nlohmann::json;

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;

std::string_view stateName(NodeState state)
{
    switch (state) {
    case NodeState::Cold:
        return "cold";
    case NodeState::Ready:
        return "ready";
    case NodeState::Draining:
        return "draining";
    case NodeState::Down:
        return "down";
    }
    return "down";
}

std::string_view roleName(NodeRole role)
{
    return role == NodeRole::Balancer ? "balancer" : "agent";
}

template<typename Entries>
void addVersions(Json &versions, std::string_view kind, const Entries &entries)
{
    for (const auto &[name, entry] : entries) {
        versions[fmt::format("{}/{}", kind, name)] = entry.version.sequence;
    }
}

std::string parameter(const Admin::Query &query, const std::string &name)
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

bool parseKind(std::string_view text, RecordKind &out)
{
    constexpr auto kinds = std::to_array<std::pair<std::string_view, RecordKind>>({
        {"service", RecordKind::Service},
        {"zone", RecordKind::Zone},
        {"server", RecordKind::Server},
    });
    for (const auto &[name, kind] : kinds) {
        if (name == text) {
            out = kind;
            return true;
        }
    }
    return false;
}

} // namespace

nlohmann::json recordsStatus(const ClusterView &view)
{
    Json versions = Json::object();
    addVersions(versions, "service", view.services);
    addVersions(versions, "zone", view.zones);
    addVersions(versions, "server", view.serverRows);
    Json nodes = Json::object();
    for (const auto &[name, node] : view.nodes) {
        auto &count = nodes[fmt::format("{} {}", roleName(node.announcement.role),
                                        stateName(node.announcement.state))];
        count = count.is_null() ? 1 : count.get<int>() + 1;
    }
    return {{"versions", versions}, {"nodes", nodes}};
}

nlohmann::json nodeStatus(const ClusterView &view, const std::string &name)
{
    const auto node = view.nodes.find(name);
    if (node == view.nodes.end()) {
        return nullptr;
    }
    const auto &announcement = node->second.announcement;
    return {{"name", announcement.name},
            {"role", roleName(announcement.role)},
            {"zone", announcement.zone},
            {"service", announcement.service},
            {"state", stateName(announcement.state)},
            {"incarnation", announcement.incarnation}};
}

bool parseInForceQuery(const Admin::Query &query, RecordKey &key, RecordVersion &version)
{
    key.name = parameter(query, "name");
    version = {};
    const auto text = parameter(query, "version");
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), version.sequence);
    const bool isNumber = error == std::errc{} && end == text.data() + text.size();
    return isNumber && !key.name.empty() && parseKind(parameter(query, "kind"), key.kind);
}

void addRecordsStatus(Admin &admin, Records &records)
{
    admin.addStatus("process", [&records] {
        const auto &options = records.options();
        return Json{{"name", options.name},
                    {"role", roleName(options.role)},
                    {"zone", options.zone},
                    {"service", options.service}};
    });
    admin.addStatus("records", [&records] { return recordsStatus(records.view()); });
    admin.addQuery("/node", OperatorRole::Viewer,
                   [&records](const Admin::Query &query, const Admin::Reply &reply) {
                       const auto node = nodeStatus(records.view(), parameter(query, "name"));
                       reply(node.is_null() ? statusNotFound : statusOk, node);
                   });
    admin.addQuery(
        "/in-force", OperatorRole::Operator,
        [&records](const Admin::Query &query, const Admin::Reply &reply) {
            RecordKey key;
            RecordVersion version;
            if (!parseInForceQuery(query, key, version)) {
                reply(
                    statusBadRequest,
                    Json{{"error",
                          "required: kind (service, zone or server), name and version (a number) of a row"}});
                return;
            }
            // Only balancers query other nodes; an agent would report on itself alone.
            if (records.options().role != NodeRole::Balancer) {
                reply(statusNotFound,
                      Json{{"error", "only a balancer reports on all processes; query a balancer"}});
                return;
            }
            records.queryInForce(key, version, [reply](const InForceReport &report) {
                reply(statusOk,
                      Json{{"confirmed", report.confirmed},
                           {"asked", report.queried},
                           {"missing", report.missing}});
            });
        });
}

} // namespace oriolelever
