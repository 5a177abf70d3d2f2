#include "oriolelever/codes.h"

#include <algorithm>
#include <array>

namespace oriolelever {

namespace {

constexpr auto rows = std::to_array<CodeRow>({
    {Code::Ok, "ok", "the operation succeeded"},
    {Code::UsageInvalid, "usage-invalid", "a command, flag or argument is wrong"},
    {Code::SettingInvalid, "setting-invalid", "a setting has a value that is not allowed"},
    {Code::SettingMissing, "setting-missing", "a required setting is absent"},
    {Code::SettingUnknown, "setting-unknown", "a setting is not known to this role"},
    {Code::FileUnreadable, "file-unreadable", "a file cannot be read or written"},
    {Code::TableInvalid, "table-invalid", "a cell of the table has a value that is not allowed"},
    {Code::NotFound, "not-found", "the named row, server or zone does not exist"},
    {Code::NotPermitted, "not-permitted", "the token does not allow the operation"},
    {Code::PlatformUnreachable, "platform-unreachable",
     "the platform did not accept the call; nothing was written"},
    {Code::PlatformConflict, "platform-conflict", "the object changed since it was read"},
    {Code::PlatformOutcomeUnknown, "platform-outcome-unknown",
     "the answer to a write was lost; read the object"},
    {Code::PlatformThrottled, "platform-throttled",
     "the platform or the call budget refused the call for now"},
    {Code::PlatformRefused, "platform-refused", "the platform refused the call"},
    {Code::NotInForce, "not-in-force", "some live nodes have not confirmed the version"},
    {Code::AddressInUse, "address-in-use", "another process holds the address and port"},
    {Code::SocketFailed, "socket-failed", "a socket operation failed"},
    {Code::PacketTruncated, "packet-truncated", "a packet ends before its headers do"},
    {Code::PacketMalformed, "packet-malformed", "a packet contradicts itself"},
    {Code::PacketForged, "packet-forged", "the keyed tag of a packet does not match"},
    {Code::ServiceUnknown, "service-unknown", "a packet is addressed to no known service"},
    {Code::IncarnationMismatch, "incarnation-mismatch",
     "a packet is meant for another incarnation or service"},
    {Code::Answered, "answered", "the backend server's whole answer was delivered"},
    {Code::RefusedNotRun, "refused-not-run", "the request was not run"},
    {Code::OutcomeUnknown, "outcome-unknown", "the request may have run; its answer was lost"},
    {Code::DeadlinePassed, "deadline-passed", "the deadline passed before an answer"},
    {Code::Cancelled, "cancelled", "the caller gave up"},
    {Code::PeerUnreachable, "peer-unreachable", "another process of the system does not answer"},
    {Code::PeerRefused, "peer-refused", "another process of the system refused the call"},
    {Code::MessageMalformed, "message-malformed", "a control message cannot be decoded"},
    {Code::LeaseLost, "lease-lost", "the lease is held by another node or has run out"},
    {Code::VersionStale, "version-stale", "a newer version is already in force"},
    {Code::Internal, "internal", "a fault of the program"},
});

} // namespace

std::span<const CodeRow> codeTable()
{
    return rows;
}

std::string_view toString(Code code)
{
    const auto row = std::find_if(rows.begin(), rows.end(), [&](const CodeRow &r) { return r.code == code; });
    return row == rows.end() ? "unknown" : row->name;
}

} // namespace oriolelever
