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
#include "oriolelever/store-position.h"
#include "oriolelever/types.h"

namespace oriolelever {

/// One object in the platform's store.
struct Object
{
    std::string kind; ///< Type of the object, such as "zone".
    std::string name; ///< Unique among the objects of the kind.
    std::uint64_t version = 0; ///< Revision of the platform at the last write; 0 for an object to be created.
    std::uint64_t era = 0; ///< Of `version`, see `StorePosition`.
    nlohmann::json value; ///< A JSON object of at most 1 MB.
    std::vector<std::string> changes; ///< Change identifiers of the latest writes, oldest first.
};

/// The position of the object's version; zero for an object to be created.
inline StorePosition positionOf(const Object &object)
{
    return {.era = object.era, .revision = object.version};
}

/// All objects of one kind at one point in the history of the platform.
struct ObjectList
{
    std::vector<Object> objects;
    StorePosition position; ///< To be passed to the first watch after this list.
};

/// One change reported by a watch. Of a removed object, only `kind`, `name` and `version`, the revision of
/// its removal, are set.
struct WatchEvent
{
    Object object;
    bool deleted = false; ///< The object was removed.
};

/// Result of one watch.
struct WatchBatch
{
    std::vector<WatchEvent> events; ///< In ascending order of version; may be empty.
    StorePosition position; ///< To be passed to the next watch.
    bool restart = false; ///< Events were skipped: the objects must be listed again.
};

/// Value or error of an asynchronous call. Unlike `Result`, it keeps its error outside of an error-handling
/// scope of LEAF.
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

    /// Returns true if the answer holds a value.
    explicit operator bool() const
    {
        return std::holds_alternative<T>(m_state);
    }

    /// The value; the answer must hold one.
    const T &value() const &
    {
        return std::get<T>(m_state);
    }

    T &&value() &&
    {
        return std::get<T>(std::move(m_state));
    }

    /// The error; the answer must hold one.
    const Error &error() const
    {
        return std::get<Error>(m_state);
    }

    /// Converts to a `Result`; must be called inside of an error-handling scope.
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

/// Receives the answer of an asynchronous call, which it may move from.
template<typename T>
using Done = std::function<void(Answer<T>)>;

/// Asynchronous access to objects. Each `done` is called once, on the control thread, never before the
/// function that it was passed to returns.
///
/// Error codes: `NotFound`, `PlatformUnreachable` (nothing was written), `PlatformConflict`,
/// `PlatformThrottled` (nothing was written), `PlatformRefused`, `NotPermitted`, and for writes
/// `PlatformOutcomeUnknown`.
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

    /// Reads one object; fails with `NotFound` if it does not exist.
    virtual void read(std::string kind, std::string name, Done<Object> done) = 0;

    /// Lists all objects of a kind.
    virtual void list(std::string kind, Done<ObjectList> done) = 0;

    /// Lists from a replica that may be seconds old, where the platform has one; costs it less than `list`.
    virtual void listStale(std::string kind, Done<ObjectList> done)
    {
        list(std::move(kind), std::move(done));
    }

    /// Writes `object.value` if the stored version is `object.version`, where 0 creates the object. Fails
    /// with `PlatformConflict` otherwise. `change` identifies this write and is appended to the object's
    /// `changes`. Answers with the object as stored.
    virtual void write(Object object, std::string change, Done<Object> done) = 0;

    /// Removes the object if the stored version is `object.version`. Answers with the revision of the
    /// removal.
    virtual void remove(Object object, Done<std::uint64_t> done) = 0;

    /// Waits up to `wait` for changes of objects of `kinds` after `after`. The answer has no events if there
    /// was none in that time.
    virtual void watch(std::vector<std::string> kinds, StorePosition after, std::chrono::milliseconds wait,
                       Done<WatchBatch> done)
        = 0;
};

/// Returns a new change identifier: 128 random bits in hexadecimal.
std::string newChangeId();

/// Outcome of a write whose answer was lost, as found by reading the object back.
enum class Resolution {
    TookEffect, ///< The object lists the write among its changes.
    WriteAgain, ///< Not applied so far; the same conditional write can be sent again.
    Superseded, ///< Another write came first; this one can no longer take effect.
    /// The read failed other than with `NotFound`, or returned a version older than `intended.version`.
    StillUnknown,
};

/// Determines the outcome of the write of `intended` with the identifier `change` from the object as read
/// back afterwards.
Resolution resolveUnknown(const Object &intended, const std::string &change, const Answer<Object> &readBack);

/// Writes with the identifier `change`. After a lost answer, reads the object back and, if needed, sends the
/// same conditional write again. Answers with `PlatformOutcomeUnknown` if the outcome is still unknown after
/// `attempts` reads. `api` must outlive the call.
void writeResolved(ObjectApi &api, Object object, std::string change, int attempts, Done<Object> done);
/// Writes with a new change identifier.
void writeResolved(ObjectApi &api, Object object, int attempts, Done<Object> done);

/// Appends `change` and removes all but the latest few identifiers.
void appendChange(std::vector<std::string> &changes, const std::string &change);

/// Token bucket that limits the rate of calls; a call costs one token.
struct CallBudget
{
    double callsPerSecond = 20; ///< Tokens added per second.
    double burst = 20; ///< Largest number of tokens.
    double tokens = 20; ///< Available at `refilledAt`.
    TimePoint refilledAt{}; ///< When tokens were last added.
};

/// Consumes one token and returns zero. If there is none, consumes nothing and returns the time until the
/// next one is available.
Duration acquireCall(CallBudget &budget, TimePoint now);

/// Exponential backoff with full jitter, shared by all calls of a process.
struct Backoff
{
    /// Longest delay after the first failure; doubles with each further one, up to `limit`.
    Duration base = std::chrono::milliseconds(100);
    Duration limit = std::chrono::seconds(30);
    int failures = 0; ///< Failed calls since the last success.
    TimePoint notBefore{}; ///< Earliest start of the next call; set by `recordFailure`.
};

/// Records a failed call and sets `backoff.notBefore`, before which no call may start. `jitter` is a random
/// number, uniform in [0, 1), by which the delay is multiplied.
void recordFailure(Backoff &backoff, TimePoint now, double jitter);
/// Records a successful call, which ends the delay.
void recordSuccess(Backoff &backoff);

/// Whether a call can change an object: only a write's outcome can be unknown.
enum class CallKind { Read, Write };

/// Shortest and longest timeout of a call that should be answered at once, for clients that adapt it by the
/// functions below; `PlatformClient` uses `PlatformOptions::timeout` instead.
constexpr std::chrono::milliseconds minCallTimeout{600}; ///< More than twice a slow answer of 60 x 4 ms.
/// With `FollowerOptions::maxRetryDelay`, short enough to notice the return of a silent platform well before
/// a change made then must be in force.
constexpr std::chrono::milliseconds maxCallTimeout{1200};
/// How long a watch waits for changes after a failed call. Short, because a watch that a silent platform does
/// not answer cannot be told from one that waits.
constexpr std::chrono::milliseconds confirmationWait{1};

/// Returns how long the next watch should wait for changes after `failures` consecutive failed calls;
/// `usualWait` if there was none.
std::chrono::milliseconds watchWait(int failures, std::chrono::milliseconds usualWait);

/// Timeout of the next call after one that was answered in `answerTime`. Short, so that a platform that did
/// not answer is called again soon after it recovers; longer for a slow platform.
std::chrono::milliseconds timeoutAfterAnswer(std::chrono::milliseconds answerTime);
/// Timeout of the next call after one that was not answered within `timeout`.
std::chrono::milliseconds timeoutAfterNoAnswer(std::chrono::milliseconds timeout);

/// Returns the error that an HTTP answer stands for; its code is `Code::Ok` for success. `subject` names the
/// object in the error text, such as `zone "bergamo"`.
Error interpretAnswer(const HttpAnswer &answer, CallKind kind, const std::string &subject);

/// Returns the JSON value of an object as the platform stores it: with `changes` as a member.
nlohmann::json storedValue(const Object &object);
/// Parses an object {"kind", "name", "version", "value"} as the platform sends it; returns false if it is
/// malformed.
bool parseObject(const nlohmann::json &json, Object &out);

/// Connection and limits of a `PlatformClient`.
struct PlatformOptions
{
    std::string url; ///< http://ADDRESS:PORT
    std::string token; ///< Bearer token; if empty, none is sent.
    std::chrono::milliseconds timeout{2000}; ///< Of a call; applies separately to its wait before it is sent.
    double callsPerSecond = 20; ///< Rate of the call budget, and its burst, which is at least 1.
    std::size_t queueLimit = 1024; ///< Calls that may wait; more fail with `PlatformThrottled`.
};

/// Reads the options from the section "platform" of the settings of any role.
PlatformOptions platformOptions(const Settings &settings);

/// Numbers of a client's calls since its construction.
struct PlatformCounters
{
    std::uint64_t calls = 0; ///< Started, including those that found no connection.
    std::uint64_t failures = 0; ///< Not answered completely, or answered with status 429 or 500 and above.
    std::uint64_t throttled = 0; ///< Refused by the platform's rate limit (status 429) or by `queueLimit`.
    std::uint64_t outcomesUnknown = 0; ///< Writes that may have been sent, but got no complete answer.
};

/// Object API over HTTP and JSON with timeouts, backoff and a call budget. Transfers run on a separate
/// thread.
///
/// The protocol: GET /v1/objects/KIND[/NAME]; PUT and DELETE /v1/objects/KIND/NAME with If-Match: VERSION or
/// If-None-Match: *; GET /v1/watch?kinds=A,B&after=REVISION&wait_ms=N, which answers 410 if events
/// after REVISION are no longer available.
class PlatformClient : public Service, public ObjectApi
{
public:
    explicit PlatformClient(PlatformOptions options);
    ~PlatformClient() override;

    Result<void> start(Kernel &kernel) override;
    void stop() override;

    /// Starts without a kernel. `control` runs the callbacks and must exist until `stop` has returned.
    void startOn(asio::io_context &control);

    void read(std::string kind, std::string name, Done<Object> done) override;
    void list(std::string kind, Done<ObjectList> done) override;
    void write(Object object, std::string change, Done<Object> done) override;
    void remove(Object object, Done<std::uint64_t> done) override;
    void watch(std::vector<std::string> kinds, StorePosition after, std::chrono::milliseconds wait,
               Done<WatchBatch> done) override;

    PlatformCounters counters() const;

private:
    class Transfers;

    std::unique_ptr<Transfers> m_transfers;
};

} // namespace oriolelever
