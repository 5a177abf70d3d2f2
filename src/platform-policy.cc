#include "oriolelever/platform.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>
#include <sodium.h>

namespace oriolelever {

namespace {

constexpr std::size_t changeIdBytes = 16;
constexpr std::size_t maxKeptChanges = 8; ///< Identifiers of writes in one object.
constexpr int maxBackoffDoublings = 20; ///< Keeps the factor finite; `Backoff::limit` applies earlier.
constexpr const char *changesMember = "changes"; ///< Member of a stored value with `Object::changes`.

constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;
constexpr int statusGone = 410;
constexpr int statusConflict = 412;
constexpr int statusThrottled = 429;
constexpr int statusUnavailable = 503;

// Error for a call that may have reached the platform: the outcome of a write is unknown.
Error lostAnswerError(CallKind kind, const std::string &subject)
{
    if (kind == CallKind::Write) {
        return {Code::PlatformOutcomeUnknown, fmt::format("the answer to the write of {} was lost", subject)};
    }
    return {Code::PlatformUnreachable, fmt::format("the platform did not answer the read of {}", subject)};
}

} // namespace

std::string newChangeId()
{
    std::array<unsigned char, changeIdBytes> bytes{};
    randombytes_buf(bytes.data(), bytes.size());
    std::array<char, 2 * changeIdBytes + 1> text{};
    sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
    return text.data();
}

void appendChange(std::vector<std::string> &changes, const std::string &change)
{
    changes.push_back(change);
    if (changes.size() > maxKeptChanges) {
        changes.erase(changes.begin(), changes.end() - maxKeptChanges);
    }
}

Resolution resolveUnknown(const Object &intended, const std::string &change, const Answer<Object> &readBack)
{
    if (!readBack) {
        const bool isAbsent = readBack.error().code == Code::NotFound;
        if (!isAbsent) {
            return Resolution::StillUnknown;
        }
        return intended.version == 0 ? Resolution::WriteAgain : Resolution::Superseded;
    }
    const auto &stored = readBack.value();
    if (std::find(stored.changes.begin(), stored.changes.end(), change) != stored.changes.end()) {
        return Resolution::TookEffect;
    }
    // A replica older than the version that was read before the write does not show the outcome.
    if (stored.version < intended.version) {
        return Resolution::StillUnknown;
    }
    return stored.version == intended.version ? Resolution::WriteAgain : Resolution::Superseded;
}

namespace {

// One call of `writeResolved`.
struct ResolvedWrite : std::enable_shared_from_this<ResolvedWrite>
{
    ObjectApi *api = nullptr;
    Object object;
    std::string change;
    int attempts = 0; ///< Remaining reads after a lost answer.
    Done<Object> done;

    void write()
    {
        api->write(object, change, [self = shared_from_this()](const Answer<Object> &answer) {
            const bool isOutcomeUnknown = !answer && answer.error().code == Code::PlatformOutcomeUnknown;
            // After a lost answer, the conflict may be with the first attempt of this write.
            const bool isAmbiguousConflict
                = !answer && answer.error().code == Code::PlatformConflict && self->m_hasLostAnswer;
            if (!isOutcomeUnknown && !isAmbiguousConflict) {
                self->done(answer);
                return;
            }
            self->m_hasLostAnswer = true;
            self->m_lastError = answer.error();
            self->readBack();
        });
    }

    void readBack()
    {
        if (--attempts < 0) {
            done(Error{Code::PlatformOutcomeUnknown, m_lastError.text});
            return;
        }
        api->read(object.kind, object.name, [self = shared_from_this()](const Answer<Object> &answer) {
            self->handleReadBack(answer);
        });
    }

    void handleReadBack(const Answer<Object> &answer)
    {
        switch (resolveUnknown(object, change, answer)) {
        case Resolution::TookEffect:
            done(answer);
            return;
        case Resolution::WriteAgain:
            write();
            return;
        case Resolution::Superseded:
            done(Error{Code::PlatformConflict,
                       fmt::format("{} \"{}\" was changed by another write", object.kind, object.name)});
            return;
        case Resolution::StillUnknown:
            readBack();
            return;
        }
    }

private:
    bool m_hasLostAnswer = false; ///< An earlier attempt may have taken effect.
    Error m_lastError; ///< Error of the last write.
};

} // namespace

void writeResolved(ObjectApi &api, Object object, int attempts, Done<Object> done)
{
    writeResolved(api, std::move(object), newChangeId(), attempts, std::move(done));
}

void writeResolved(ObjectApi &api, Object object, std::string change, int attempts, Done<Object> done)
{
    auto write = std::make_shared<ResolvedWrite>();
    write->api = &api;
    write->object = std::move(object);
    write->change = std::move(change);
    write->attempts = attempts;
    write->done = std::move(done);
    write->write();
}

Duration acquireCall(CallBudget &budget, TimePoint now)
{
    if (now > budget.refilledAt) {
        const std::chrono::duration<double> elapsed = now - budget.refilledAt;
        budget.tokens = std::min(budget.burst, budget.tokens + elapsed.count() * budget.callsPerSecond);
        budget.refilledAt = now;
    }
    if (budget.tokens >= 1) {
        budget.tokens -= 1;
        return Duration::zero();
    }
    const std::chrono::duration<double> wait((1 - budget.tokens) / budget.callsPerSecond);
    return std::chrono::ceil<std::chrono::microseconds>(wait);
}

void recordFailure(Backoff &backoff, TimePoint now, double jitter)
{
    const double factor = std::exp2(std::min(backoff.failures, maxBackoffDoublings));
    const std::chrono::duration<double> limit = backoff.limit;
    const std::chrono::duration<double> base = backoff.base;
    const std::chrono::duration<double> wait(jitter * std::min(limit.count(), base.count() * factor));
    ++backoff.failures;
    backoff.notBefore = now + std::chrono::duration_cast<Duration>(wait);
}

void recordSuccess(Backoff &backoff)
{
    backoff.failures = 0;
    backoff.notBefore = {};
}

std::chrono::milliseconds watchWait(int failures, std::chrono::milliseconds usualWait)
{
    return failures > 0 ? confirmationWait : usualWait;
}

std::chrono::milliseconds timeoutAfterAnswer(std::chrono::milliseconds answerTime)
{
    return std::clamp(3 * answerTime, minCallTimeout, maxCallTimeout);
}

std::chrono::milliseconds timeoutAfterNoAnswer(std::chrono::milliseconds timeout)
{
    return std::min(2 * timeout, maxCallTimeout);
}

Error interpretAnswer(const HttpAnswer &answer, CallKind kind, const std::string &subject)
{
    switch (answer.state) {
    case TransferState::NotSent:
        return {Code::PlatformUnreachable, fmt::format("the platform cannot be reached for {}", subject)};
    case TransferState::Lost:
        return lostAnswerError(kind, subject);
    case TransferState::Complete:
        break;
    }
    if (answer.status >= 200 && answer.status < 300) {
        return {Code::Ok, {}};
    }
    switch (answer.status) {
    case statusUnauthorized:
    case statusForbidden:
        return {Code::NotPermitted, fmt::format("the platform's token does not allow {}", subject)};
    case statusNotFound:
        return {Code::NotFound, fmt::format("{} does not exist", subject)};
    case statusGone:
        return {Code::VersionStale, fmt::format("the platform no longer holds the events of {}", subject)};
    case statusConflict:
        return {Code::PlatformConflict, fmt::format("{} changed since it was read", subject)};
    case statusThrottled:
        return {Code::PlatformThrottled, fmt::format("the platform's rate limit refused {}", subject)};
    case statusUnavailable:
        return {Code::PlatformUnreachable, fmt::format("the platform is not available for {}", subject)};
    default:
        break;
    }
    if (answer.status >= 500) {
        return lostAnswerError(kind, subject);
    }
    return {Code::PlatformRefused, fmt::format("the platform refused {}: status {}", subject, answer.status)};
}

nlohmann::json storedValue(const Object &object)
{
    auto value = object.value;
    if (value.is_object()) {
        value[changesMember] = object.changes;
    }
    return value;
}

bool parseObject(const nlohmann::json &json, Object &out)
{
    if (!json.is_object() || !json.contains("kind") || !json.contains("name") || !json.contains("version")) {
        return false;
    }
    if (!json["kind"].is_string() || !json["name"].is_string() || !json["version"].is_number_unsigned()) {
        return false;
    }
    out.kind = json["kind"].get<std::string>();
    out.name = json["name"].get<std::string>();
    out.version = json["version"].get<std::uint64_t>();
    out.value = json.value("value", nlohmann::json());
    out.changes.clear();
    if (!out.value.is_object() || !out.value.contains(changesMember)) {
        return true;
    }
    for (const auto &change : out.value[changesMember]) {
        if (change.is_string()) {
            out.changes.push_back(change.get<std::string>());
        }
    }
    out.value.erase(changesMember);
    return true;
}

PlatformOptions platformOptions(const Settings &settings)
{
    return {
        .url = settings.text("platform", "url"),
        .token = settings.text("platform", "token"),
        .timeout = settings.time("platform", "timeout_ms"),
        .callsPerSecond = static_cast<double>(settings.count("platform", "calls_per_second")),
    };
}

} // namespace oriolelever
