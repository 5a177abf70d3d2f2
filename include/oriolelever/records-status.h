/// Reports on the records in force, for operators.
#pragma once

#include <nlohmann/json.hpp>

#include "oriolelever/admin.h"
#include "oriolelever/records.h"

namespace oriolelever {

/// Returns the versions of the configuration rows by "kind/name", and the counts of nodes by role and state.
nlohmann::json recordsStatus(const ClusterView &view);

/// Returns one node as JSON, or null if the view has no node of this name.
nlohmann::json nodeStatus(const ClusterView &view, const std::string &name);

/// Parses the parameters of /in-force. Returns false if they name no configuration row or no version.
bool parseInForceQuery(const Admin::Query &query, RecordKey &key, RecordVersion &version);

/// Adds the statuses "process" and "records", and the queries /in-force?kind=K&name=N&version=V, which
/// queries every live process, and /node?name=N. `admin` and `records` must outlive the event loop.
void addRecordsStatus(Admin &admin, Records &records);

} // namespace oriolelever
