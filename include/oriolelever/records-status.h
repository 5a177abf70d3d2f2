/// What a process tells operators of the records that it has in force.
#pragma once

#include <nlohmann/json.hpp>

#include "oriolelever/admin.h"
#include "oriolelever/records.h"

namespace oriolelever {

/// Versions of the table's rows by "kind/name", and counts of nodes by state.
nlohmann::json recordsStatus(const ClusterView &view);

/// One node as JSON; null if the view has none of this name.
nlohmann::json nodeStatus(const ClusterView &view, const std::string &name);

/// Parses the parameters of /in-force; false if they name no record.
bool parseForceQuery(const Admin::Query &query, RecordKey &key, RecordVersion &version);

/// Offers the status "records" and the questions /in-force?kind=K&name=N&version=V, which asks every live
/// process, and /node?name=N. Both must outlive the event loop.
void offerRecordsStatus(Admin &admin, Records &records);

} // namespace oriolelever
