/// The platform's object API: versioned JSON objects, conditional writes and watches.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "oriolelever/codes.h"
#include "oriolelever/http-client.h"
#include "oriolelever/kernel.h"
#include "oriolelever/settings.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// One object of the platform.
struct Object
{
    std::string kind;
    std::string name;
    std::uint64_t version = 0; ///< Revision of the platform at the last write; 0 if it does not exist yet.
    nlohmann::json value; ///< A JSON object of at most 1 MB.
    std::vector<std::string> changes; ///< Identifiers of the latest writes, oldest first.
};

/// Objects of one kind at a revision of the platform.
struct ObjectList
{
    std::vector<Object> objects;
    std::uint64_t revision = 0; ///< A watch that continues this list starts after it.
};

/// One change seen by a watch; a removed object keeps only kind, name and the version of its removal.
struct WatchEvent
{
    Object object;
    bool deleted = false;
};

/// Answer to one waiting watch.
struct WatchBatch
{
    std::vector<WatchEvent> events; ///< Ascending versions.
    std::uint64_t revision = 0; ///< The next watch starts after it.
    bool restart = false; ///< Events were skipped: list again.
};

/// Value or error of an asynchronous call. Unlike `Result`, it keeps its error outside of an error-handling
/// scope.
template<typename T>
class Answer
{
public:
    Answer(T value)
        : m_state(std::move(value))
    {
    }

    Answer(Error error)
        : m_state(std::move(error))
    {
    }

    explicit operator bool() const
    {
        return std::holds_alternative<T>(m_state);
    }

    /// The value; the answer must be one.
    const T &value() const
    {
        return std::get<T>(m_state);
    }

    /// The error; the answer must be one.
    const Error &error() const
    {
        return std::get<Error>(m_state);
    }

    /// The same as a `Result`, to be made inside of an error-handling scope.
    Result<T> result() const
    {
        if (*this) {
            return value();
        }
        return leaf::new_error(error());
    }

private:
    std::variant<T, Error> m_state;
};

template<typename T>
using Done = std::function<void(const Answer<T> &)>;

/// Asynchronous access to objects. Every `done` is called once, on the control thread, never before the call
/// returns.
///
/// Errors: `NotFound`, `PlatformUnreachable` (nothing was written), `PlatformConflict`, `PlatformThrottled`
/// (nothing was written), `PlatformRefused`, `NotPermitted`, and for writes `PlatformOutcomeUnknown`.
///
///     api.read("zone", "bergamo", [](const Answer<Object> &answer) {
///         if (!answer) {
///             log.warn("{}", answer.error().text);
///         }
///     });
class ObjectApi
{
public:
    virtual ~ObjectApi() = default;

    virtual void read(std::string kind, std::string name, Done<Object> done) = 0;

    virtual void list(std::string kind, Done<ObjectList> done) = 0;

    /// The same from a copy that may be seconds old, where the platform has one; it is cheaper.
    virtual void listStale(std::string kind, Done<ObjectList> done)
    {
        list(std::move(kind), std::move(done));
    }

    /// Writes `object.value` if the stored version is `object.version`; 0 creates. `change` identifies this
    /// write and is appended to the object's `changes`. Answers with the object as stored.
    virtual void write(Object object, std::string change, Done<Object> done) = 0;

    /// Removes the object if the stored version is `object.version`. Answers with the removal's revision.
    virtual void remove(Object object, Done<std::uint64_t> done) = 0;

    /// Waits up to `wait` for changes of any of `kinds` after revision `after`; the answer may hold none.
    virtual void watch(std::vector<std::string> kinds, std::uint64_t after, std::chrono::milliseconds wait,
                       Done<WatchBatch> done)
        = 0;
};

/// A new identifier of a change: 128 random bits, hexadecimal.
std::string newChangeId();

/// What reading back tells of a write whose answer was lost.
enum class Resolution {
    TookEffect,
    WriteAgain, ///< Not applied so far; the same conditional write can be sent again.
    Overtaken, ///< Another write came first; this one can no longer take effect.
    StillUnknown,
};

/// Compares the object as read back with the write of `intended` under `change`.
Resolution resolveUnknown(const Object &intended, const std::string &change, const Answer<Object> &readBack);

/// Writes under `change`. After a lost answer it reads back and, where needed, sends the same
/// conditional write again, `attempts` times at most; only then it answers `PlatformOutcomeUnknown`. `api`
/// must outlive the call.
void writeResolved(ObjectApi &api, Object object, std::string change, int attempts, Done<Object> done);
/// The same with a new change identifier.
void writeResolved(ObjectApi &api, Object object, int attempts, Done<Object> done);

/// Appends `change` and drops all but the latest few.
void appendChange(std::vector<std::string> &changes, const std::string &change);

/// Token bucket of calls.
struct CallBudget
{
    double callsPerSecond = 20;
    double burst = 20; ///< Largest number of saved calls.
    double tokens = 20;
    TimePoint refilled{};
};

/// Takes one call from the budget. Returns zero, or how long until one is available without taking it.
Duration takeCall(CallBudget &budget, TimePoint now);

/// Exponential backoff with full jitter, shared by all calls of a process.
struct Backoff
{
    Duration base = std::chrono::milliseconds(100);
    Duration limit = std::chrono::seconds(30);
    int failures = 0;
    TimePoint notBefore{};
};

/// Notes a failed call; `unit` is uniform in [0, 1). No call may start before `backoff.notBefore`.
void noteFailure(Backoff &backoff, TimePoint now, double unit);
void noteSuccess(Backoff &backoff);

enum class CallKind { Read, Write };

/// Limits of a call to the platform that should be answered at once.
constexpr std::chrono::milliseconds firstCallTimeout{600}; ///< More than twice a slow answer of 60 x 4 ms.
constexpr std::chrono::milliseconds longestCallTimeout{4800}; ///< Three doublings.

/// The limit of the next call after one that was answered in `took`. Short, so that a platform that was
/// silent is asked again soon after its return; longer for a slow one.
std::chrono::milliseconds timeoutAfterAnswer(std::chrono::milliseconds took);
/// The same after a call that was not answered within `timeout`.
std::chrono::milliseconds timeoutAfterSilence(std::chrono::milliseconds timeout);

/// Error of an HTTP answer, `Code::Ok` for success. `subject` names the object, such as `zone "bergamo"`.
Error interpretAnswer(const HttpAnswer &answer, CallKind kind, const std::string &subject);

/// JSON of an object as the platform stores it: `changes` is a member of the value.
nlohmann::json storedValue(const Object &object);
/// Parses {"kind", "name", "version", "value"} as the platform sends it; false if malformed.
bool parseObject(const nlohmann::json &json, Object &out);

struct PlatformOptions
{
    std::string url; ///< http://ADDRESS:PORT
    std::string token; ///< Bearer token; empty sends none.
    std::chrono::milliseconds timeout{2000};
    double callsPerSecond = 20;
    std::size_t queueLimit = 1024; ///< Calls that wait for the budget; more are throttled.
};

/// The platform's options in the settings of any role.
PlatformOptions platformOptions(const Settings &settings);

/// Counters of a client's calls.
struct PlatformCounters
{
    std::uint64_t calls = 0; ///< Sent to the platform.
    std::uint64_t failures = 0;
    std::uint64_t throttled = 0; ///< Refused by the platform's rate or by the own queue limit.
    std::uint64_t outcomesUnknown = 0;
};

/// Object API over HTTP and JSON with time limits, backoff and a call budget. Its transfers run on a thread
/// of its own.
///
/// The protocol: GET /v1/objects/KIND[/NAME]; PUT and DELETE /v1/objects/KIND/NAME with If-Match: VERSION or
/// If-None-Match: *; GET /v1/watch?kinds=A,B&after=REVISION&wait_ms=N, which answers 410 after skipped
/// events.
class PlatformClient : public Service, public ObjectApi
{
public:
    explicit PlatformClient(PlatformOptions options);
    ~PlatformClient() override;

    Result<void> start(Kernel &kernel) override;
    void stop() override;

    /// Starts without a kernel; callbacks run on `control`.
    void startOn(asio::io_context &control);

    void read(std::string kind, std::string name, Done<Object> done) override;
    void list(std::string kind, Done<ObjectList> done) override;
    void write(Object object, std::string change, Done<Object> done) override;
    void remove(Object object, Done<std::uint64_t> done) override;
    void watch(std::vector<std::string> kinds, std::uint64_t after, std::chrono::milliseconds wait,
               Done<WatchBatch> done) override;

    PlatformCounters counters() const;

private:
    class Transfers;

    std::unique_ptr<Transfers> m_transfers;
};

} // namespace oriolelever
