#include "oriolelever/platform.h"

#include <atomic>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <asio/post.hpp>
#include <curl/curl.h>
#include <fmt/format.h>

#include "oriolelever/json-parts.h"
#include "oriolelever/log.h"

namespace oriolelever {

namespace {

constexpr std::string_view revisionMember = "revision";
constexpr std::size_t maxAnswerBytes = 64UL << 20;
constexpr std::chrono::milliseconds idlePollInterval{1000}; ///< Longest wait for activity in `run`.

const Log &platformLog()
{
    static const Log instance("platform");
    return instance;
}

// One HTTP call: the request, and the callback that receives the answer on the control thread.
struct Call
{
    std::string method;
    std::string path;
    std::string body;
    std::string conditionHeader; ///< If-Match or If-None-Match line; empty sends none.
    CallKind kind = CallKind::Read;
    std::chrono::milliseconds timeout{};
    TimePoint queuedAt{}; ///< Set by `submit`.
    std::function<void(HttpAnswer)> done;
};

// One call that is running, with its libcurl handles.
struct Transfer
{
    Call call;
    HttpAnswer answer;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
};

// Write callback of libcurl; 0 aborts the transfer.
std::size_t appendBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &body = static_cast<Transfer *>(user)->answer.body;
    if (body.size() + size * count > maxAnswerBytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

TransferState transferState(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return TransferState::Complete;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
    case CURLE_UNSUPPORTED_PROTOCOL:
        return TransferState::NotSent;
    default:
        return TransferState::Lost;
    }
}

// Whether a call counts as failed for the backoff: any other answer, also an error, shows that the platform
// works.
bool isFailedCall(const HttpAnswer &answer)
{
    return answer.state != TransferState::Complete || answer.status == 429 || answer.status >= 500;
}

std::string subjectOf(const std::string &kind, const std::string &name)
{
    return fmt::format("{} \"{}\"", kind, name);
}

std::string objectPath(const std::string &kind, const std::string &name)
{
    return fmt::format("/v1/objects/{}/{}", kind, name);
}

Error malformedAnswer(const std::string &subject)
{
    return {Code::PlatformRefused, fmt::format("the platform's answer for {} cannot be read", subject)};
}

// An object of another writer may have a value that cannot be decoded: it counts with a null value, and the
// other objects of the answer hold.
bool parseListedObject(const JsonPart &part, const std::string &subject, Object &out)
{
    if (parseObject(decodeJson(part), out)) {
        return true;
    }
    const bool isNamed = parseObject(decodeMembers(part.text), out);
    platformLog().warn("{}: object \"{}\" cannot be read{}", subject, isNamed ? out.name : std::string(),
                       isNamed ? ", its value is ignored" : " and is ignored");
    return isNamed;
}

Answer<Object> objectAnswer(const HttpAnswer &answer, CallKind kind, const std::string &subject)
{
    auto error = interpretAnswer(answer, kind, subject);
    if (error.code != Code::Ok) {
        return error;
    }
    Object object;
    if (!parseListedObject({.text = answer.body, .depth = nestingDepth(answer.body)}, subject, object)) {
        return kind == CallKind::Write ? Error{Code::PlatformOutcomeUnknown, malformedAnswer(subject).text}
                                       : malformedAnswer(subject);
    }
    return object;
}

// Splits an answer into its revision and the elements of `member`; unset if it is malformed.
std::optional<std::vector<JsonPart>> splitAnswer(std::string_view body, std::string_view member,
                                                 std::uint64_t &revision)
{
    const auto members = splitObject(body);
    const auto decoded = members ? decodeRevision(*members, revisionMember) : std::nullopt;
    if (!decoded) {
        return {};
    }
    revision = *decoded;
    return splitArray(memberPart(*members, member).text);
}

Answer<std::uint64_t> removalAnswer(const HttpAnswer &answer, const std::string &subject)
{
    auto error = interpretAnswer(answer, CallKind::Write, subject);
    if (error.code != Code::Ok) {
        return error;
    }
    const auto members = splitObject(answer.body);
    const auto revision = members ? decodeRevision(*members, revisionMember) : std::nullopt;
    if (!revision) {
        return Error{Code::PlatformOutcomeUnknown, malformedAnswer(subject).text};
    }
    return *revision;
}

Answer<ObjectList> listAnswer(const HttpAnswer &answer, const std::string &subject)
{
    auto error = interpretAnswer(answer, CallKind::Read, subject);
    if (error.code != Code::Ok) {
        return error;
    }
    ObjectList list;
    const auto items = splitAnswer(answer.body, "objects", list.position.revision);
    if (!items) {
        return malformedAnswer(subject);
    }
    for (const auto item : *items) {
        Object object;
        if (parseListedObject(item, subject, object)) {
            list.objects.push_back(std::move(object));
        }
    }
    return list;
}

Answer<WatchBatch> watchAnswer(const HttpAnswer &answer, const std::string &subject)
{
    auto error = interpretAnswer(answer, CallKind::Read, subject);
    if (error.code == Code::VersionStale) {
        return WatchBatch{.restart = true};
    }
    if (error.code != Code::Ok) {
        return error;
    }
    WatchBatch batch;
    const auto items = splitAnswer(answer.body, "events", batch.position.revision);
    if (!items) {
        return malformedAnswer(subject);
    }
    for (const auto item : *items) {
        WatchEvent event;
        if (!parseListedObject(item, subject, event.object)) {
            continue;
        }
        event.deleted = memberPart(splitObject(item.text).value_or(std::vector<JsonMember>()), "deleted").text
            == "true";
        batch.events.push_back(std::move(event));
    }
    return batch;
}

} // namespace

// Runs transfers on a separate thread. Other threads call only the public functions.
class PlatformClient::Transfers
{
public:
    explicit Transfers(PlatformOptions options)
        : m_options(std::move(options))
        , m_random(std::random_device{}())
    {
        m_budget.callsPerSecond = m_options.callsPerSecond;
        m_budget.burst = std::max(1.0, m_options.callsPerSecond);
        m_budget.tokens = m_budget.burst;
    }

    ~Transfers()
    {
        stop();
    }

    void start(asio::io_context &control)
    {
        static const CURLcode global = curl_global_init(CURL_GLOBAL_DEFAULT);
        static_cast<void>(global);
        m_control = &control;
        m_multi = curl_multi_init();
        m_thread = std::thread([this] { run(); });
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        m_stopping = true;
        curl_multi_wakeup(m_multi);
        m_thread.join();
        curl_multi_cleanup(m_multi);
    }

    void submit(Call call)
    {
        call.queuedAt = std::chrono::steady_clock::now();
        const std::scoped_lock lock(m_mutex);
        if (m_incoming.size() + m_waitingCount >= m_options.queueLimit) {
            ++m_counters.throttled;
            deliver(call, HttpAnswer{.status = 429});
            return;
        }
        m_incoming.push_back(std::move(call));
        curl_multi_wakeup(m_multi);
    }

    PlatformCounters counters() const
    {
        const std::scoped_lock lock(m_mutex);
        return m_counters;
    }

    const PlatformOptions &options() const
    {
        return m_options;
    }

private:
    void run()
    {
        while (!m_stopping) {
            queueIncoming();
            const auto wait = startWaitingCalls(std::chrono::steady_clock::now());
            int running = 0;
            curl_multi_perform(m_multi, &running);
            if (finishTransfers()) {
                continue;
            }
            curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(wait.count()), nullptr);
        }
        while (!m_running.empty()) {
            removeTransfer(m_running.begin()->first);
        }
    }

    void queueIncoming()
    {
        const std::scoped_lock lock(m_mutex);
        for (auto &call : m_incoming) {
            m_waiting.push_back(std::move(call));
        }
        m_incoming.clear();
        m_waitingCount = m_waiting.size();
    }

    // Starts the calls that budget and backoff allow. Returns how long to wait for activity before the next
    // attempt.
    std::chrono::milliseconds startWaitingCalls(TimePoint now)
    {
        expireWaitingCalls(now);
        while (!m_waiting.empty()) {
            if (now < m_backoff.notBefore) {
                return pollDelay(m_backoff.notBefore - now);
            }
            // After a failure, a single call at a time probes whether the platform works again.
            if (m_backoff.failures > 0 && m_probe != nullptr) {
                return idlePollInterval;
            }
            const auto wait = acquireCall(m_budget, now);
            if (wait > Duration::zero()) {
                return pollDelay(wait);
            }
            startCall(std::move(m_waiting.front()));
            m_waiting.pop_front();
        }
        return idlePollInterval;
    }

    std::chrono::milliseconds pollDelay(Duration wait) const
    {
        const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
        return std::min({rounded, idlePollInterval, std::chrono::milliseconds(20)});
    }

    // Calls that have waited for `timeout` end as not sent.
    void expireWaitingCalls(TimePoint now)
    {
        std::deque<Call> kept;
        for (auto &call : m_waiting) {
            if (now - call.queuedAt < m_options.timeout) {
                kept.push_back(std::move(call));
                continue;
            }
            deliver(call, HttpAnswer{.state = TransferState::NotSent});
        }
        m_waiting = std::move(kept);
    }

    void startCall(Call call)
    {
        auto transfer = std::make_unique<Transfer>();
        transfer->call = std::move(call);
        transfer->easy = curl_easy_init();
        configureTransfer(*transfer);
        auto *const easy = transfer->easy;
        m_running.emplace(easy, std::move(transfer));
        curl_multi_add_handle(m_multi, easy);
        if (m_backoff.failures > 0) {
            m_probe = easy;
        }
        const std::scoped_lock lock(m_mutex);
        ++m_counters.calls;
    }

    void configureTransfer(Transfer &transfer)
    {
        const auto &call = transfer.call;
        addHeader(transfer, "Content-Type: application/json");
        addHeader(transfer, "Expect:");
        if (!m_options.token.empty()) {
            addHeader(transfer, "Authorization: Bearer " + m_options.token);
        }
        if (!call.conditionHeader.empty()) {
            addHeader(transfer, call.conditionHeader);
        }
        auto *const easy = transfer.easy;
        curl_easy_setopt(easy, CURLOPT_URL, (m_options.url + call.path).c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer.headers);
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, call.method.c_str());
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(call.timeout.count()));
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendBody);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &transfer);
        if (call.method == "PUT") {
            curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call.body.c_str());
            curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(call.body.size()));
        }
    }

    static void addHeader(Transfer &transfer, const std::string &line)
    {
        transfer.headers = curl_slist_append(transfer.headers, line.c_str());
    }

    // Returns true if any transfer has finished.
    bool finishTransfers()
    {
        bool hasFinished = false;
        int remainingMessages = 0;
        while (auto *const message = curl_multi_info_read(m_multi, &remainingMessages)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            hasFinished = true;
            auto *const easy = message->easy_handle;
            finishTransfer(*m_running.at(easy), message->data.result);
            removeTransfer(easy);
        }
        return hasFinished;
    }

    void finishTransfer(Transfer &transfer, CURLcode result)
    {
        transfer.answer.state = transferState(result);
        long status = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        transfer.answer.status = static_cast<int>(status);
        // A timeout during the connection attempt: nothing was sent.
        long requestBytes = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &requestBytes);
        if (result == CURLE_OPERATION_TIMEDOUT && requestBytes == 0) {
            transfer.answer.state = TransferState::NotSent;
        }
        recordHealth(transfer);
        deliver(transfer.call, std::move(transfer.answer));
    }

    void recordHealth(const Transfer &transfer)
    {
        const bool isFailed = isFailedCall(transfer.answer);
        if (isFailed) {
            const double jitter = std::uniform_real_distribution<double>(0, 1)(m_random);
            recordFailure(m_backoff, std::chrono::steady_clock::now(), jitter);
            if (m_backoff.failures == 1) {
                platformLog().warn("call failed: {} {} status {}", transfer.call.method, transfer.call.path,
                                   transfer.answer.status);
            }
        } else {
            if (m_backoff.failures > 0) {
                platformLog().info("works again after {} failed calls", m_backoff.failures);
            }
            recordSuccess(m_backoff);
        }
        const std::scoped_lock lock(m_mutex);
        m_counters.failures += isFailed ? 1 : 0;
        m_counters.throttled += transfer.answer.status == 429 ? 1 : 0;
        const bool isLost = transfer.answer.state == TransferState::Lost;
        m_counters.outcomesUnknown += isLost && transfer.call.kind == CallKind::Write ? 1 : 0;
    }

    // Calls `done` on the control thread.
    void deliver(const Call &call, HttpAnswer answer)
    {
        asio::post(*m_control, [done = call.done, answer = std::move(answer)] { done(answer); });
    }

    void removeTransfer(CURL *easy)
    {
        curl_multi_remove_handle(m_multi, easy);
        if (m_probe == easy) {
            m_probe = nullptr;
        }
        const auto found = m_running.find(easy);
        curl_slist_free_all(found->second->headers);
        curl_easy_cleanup(easy);
        m_running.erase(found);
    }

    PlatformOptions m_options;
    asio::io_context *m_control = nullptr;
    CURLM *m_multi = nullptr;
    std::thread m_thread;
    std::atomic<bool> m_stopping = false;

    mutable std::mutex m_mutex;
    std::deque<Call> m_incoming;
    std::size_t m_waitingCount = 0; ///< Size of `m_waiting` when calls were last moved to it.
    PlatformCounters m_counters;

    // Used only by the transfer thread.
    std::deque<Call> m_waiting;
    std::map<CURL *, std::unique_ptr<Transfer>> m_running;
    CallBudget m_budget;
    Backoff m_backoff;
    CURL *m_probe = nullptr; ///< Latest call that was started after a failure, while it runs; else null.
    std::mt19937_64 m_random;
};

PlatformClient::PlatformClient(PlatformOptions options)
    : m_transfers(std::make_unique<Transfers>(std::move(options)))
{
}

PlatformClient::~PlatformClient() = default;

Result<void> PlatformClient::start(Kernel &kernel)
{
    startOn(kernel.control());
    return {};
}

void PlatformClient::startOn(asio::io_context &control)
{
    m_transfers->start(control);
}

void PlatformClient::stop()
{
    m_transfers->stop();
}

PlatformCounters PlatformClient::counters() const
{
    return m_transfers->counters();
}

void PlatformClient::read(std::string kind, std::string name, Done<Object> done)
{
    m_transfers->submit({
        .method = "GET",
        .path = objectPath(kind, name),
        .timeout = m_transfers->options().timeout,
        .done = [subject = subjectOf(kind, name), done = std::move(done)](
                    const HttpAnswer &answer) { done(objectAnswer(answer, CallKind::Read, subject)); },
    });
}

void PlatformClient::list(std::string kind, Done<ObjectList> done)
{
    m_transfers->submit({
        .method = "GET",
        .path = "/v1/objects/" + kind,
        .timeout = m_transfers->options().timeout,
        .done = [subject = fmt::format("kind \"{}\"", kind),
                 done = std::move(done)](const HttpAnswer &answer) { done(listAnswer(answer, subject)); },
    });
}

void PlatformClient::write(Object object, std::string change, Done<Object> done)
{
    appendChange(object.changes, change);
    const auto conditionHeader
        = object.version == 0 ? std::string("If-None-Match: *") : fmt::format("If-Match: {}", object.version);
    m_transfers->submit({
        .method = "PUT",
        .path = objectPath(object.kind, object.name),
        .body = storedValue(object).dump(),
        .conditionHeader = conditionHeader,
        .kind = CallKind::Write,
        .timeout = m_transfers->options().timeout,
        .done = [subject = subjectOf(object.kind, object.name), done = std::move(done)](
                    const HttpAnswer &answer) { done(objectAnswer(answer, CallKind::Write, subject)); },
    });
}

void PlatformClient::remove(Object object, Done<std::uint64_t> done)
{
    m_transfers->submit({
        .method = "DELETE",
        .path = objectPath(object.kind, object.name),
        .conditionHeader = fmt::format("If-Match: {}", object.version),
        .kind = CallKind::Write,
        .timeout = m_transfers->options().timeout,
        .done = [subject = subjectOf(object.kind, object.name),
                 done = std::move(done)](const HttpAnswer &answer) { done(removalAnswer(answer, subject)); },
    });
}

void PlatformClient::watch(std::vector<std::string> kinds, StorePosition after,
                           std::chrono::milliseconds wait, Done<WatchBatch> done)
{
    const auto joined = fmt::format("{}", fmt::join(kinds, ","));
    m_transfers->submit({
        .method = "GET",
        .path = fmt::format("/v1/watch?kinds={}&after={}&wait_ms={}", fmt::join(kinds, "%2C"), after.revision,
                            wait.count()),
        .timeout = wait + m_transfers->options().timeout,
        .done = [subject = fmt::format("watch of \"{}\"", joined),
                 done = std::move(done)](const HttpAnswer &answer) { done(watchAnswer(answer, subject)); },
    });
}

} // namespace oriolelever
