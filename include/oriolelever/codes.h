/// Numbered result codes. docs/CODES.md lists the same codes; a test compares the two.
#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

#include <boost/leaf.hpp>

namespace oriolelever {

/// Result of an operation. Numbers are stable: new codes get new numbers.
enum class Code : std::uint16_t {
    Ok = 0,

    // Command line, settings and tables.
    UsageInvalid = 100,
    SettingInvalid = 101,
    SettingMissing = 102,
    SettingUnknown = 103,
    FileUnreadable = 104,
    TableInvalid = 105,
    NotFound = 106,
    NotPermitted = 107,

    // Platform.
    PlatformUnreachable = 200,
    PlatformConflict = 201,
    PlatformOutcomeUnknown = 202,
    PlatformThrottled = 203,
    PlatformRefused = 204,
    NotInForce = 205,

    // Sockets and packets.
    AddressInUse = 300,
    SocketFailed = 301,
    PacketTruncated = 302,
    PacketMalformed = 303,
    PacketForged = 304,
    ServiceUnknown = 305,
    IncarnationMismatch = 306,

    // Requests.
    Answered = 400,
    RefusedNotRun = 401,
    OutcomeUnknown = 402,
    DeadlinePassed = 403,
    Cancelled = 404,

    // Control messages between processes.
    PeerUnreachable = 500,
    PeerRefused = 501,
    MessageMalformed = 502,
    LeaseLost = 503,
    VersionStale = 504,

    Internal = 900,
};

/// One row of the table of result codes.
struct CodeRow
{
    Code code;
    std::string_view name; ///< Lower case with hyphens, such as "not-found".
    std::string_view meaning; ///< One clause that explains the code.
};

/// Every code, ascending by number.
std::span<const CodeRow> codeTable();
/// Name of `code` as in the table; "unknown" if it is not there.
std::string_view toString(Code code);

namespace leaf = boost::leaf;

/// The error that every `leaf::result` of this project carries.
struct Error
{
    Code code = Code::Internal;
    std::string text; ///< One sentence that names what is at fault.
};

template<typename T>
using Result = leaf::result<T>;

/// Makes an error result.
///
///     return fail(Code::NotFound, "service \"archivio\" does not exist");
inline leaf::error_id fail(Code code, std::string text)
{
    return leaf::new_error(Error{code, std::move(text)});
}

/// Runs `attempt`, a function without arguments that returns `Result<T>`. Returns its value or, on failure,
/// what `onError(const Error &)` returns.
template<typename Attempt, typename OnError>
auto handleError(Attempt &&attempt, OnError &&onError)
{
    return leaf::try_handle_all(
        std::forward<Attempt>(attempt), [&](const Error &error) { return onError(error); },
        [&] {
            return onError(Error{Code::Internal, "unknown error"});
        });
}

} // namespace oriolelever
