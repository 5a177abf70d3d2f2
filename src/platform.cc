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

#include "oriolelever/log.h"

namespace oriolelever {

namespace {

constexpr std::size_t maxAnswerBytes = 64UL << 20;
constexpr std::chrono::milliseconds idlePoll{1000};

const Log &platformLog()
{
    static const Log instance("platform");
    return instance;
}

// One HTTP call: what to send, and who takes the answer on the control thread.
struct Call
{
    std::string method;
    std::string path;
    std::string body;
    std::string condition; ///< Header line, or empty.
    CallKind kind = CallKind::Read;
    std::chrono::milliseconds timeout{};
    TimePoint queued{};
    std::function<void(HttpAnswer)> done;
};

struct Transfer
{
    Call call;
    HttpAnswer answer;
    CURL *easy = nullptr;
    curl_slist *headers = nullptr;
};

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

// Shows the platform's health to the backoff: an answer of any other kind proves that it works.
bool isTrouble(const HttpAnswer &answer)
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

Answer<Object> objectAnswer(const HttpAnswer &answer, CallKind kind, const std::string &subject)
{
    auto error = interpretAnswer(answer, kind, subject);
    if (error.code != Code::Ok) {
        return error;
    }
    Object object;
    if (!parseObject(nlohmann::json::parse(answer.body, nullptr, false), object)) {
        return kind == CallKind::Write ? Error{Code::PlatformOutcomeUnknown, malformedAnswer(subject).text}
                                       : malformedAnswer(subject);
    }
    return object;
}

bool parseRevision(const nlohmann::json &json, std::uint64_t &out)
{
    if (!json.is_object() || !json.contains("revision") || !json["revision"].is_number_unsigned()) {
        return false;
    }
    out = json["revision"].get<std::uint64_t>();
    return true;
}

Answer<ObjectList> listAnswer(const HttpAnswer &answer, const std::string &subject)
{
    auto error = interpretAnswer(answer, CallKind::Read, subject);
    if (error.code != Code::Ok) {
        return error;
    }
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    ObjectList list;
    if (!parseRevision(json, list.revision) || !json.contains("objects")) {
        return malformedAnswer(subject);
    }
    for (const auto &item : json["objects"]) {
        Object object;
        if (!parseObject(item, object)) {
            return malformedAnswer(subject);
        }
        list.objects.push_back(std::move(object));
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
    const auto json = nlohmann::json::parse(answer.body, nullptr, false);
    WatchBatch batch;
    if (!parseRevision(json, batch.revision) || !json.contains("events")) {
        return malformedAnswer(subject);
    }
    for (const auto &item : json["events"]) {
        WatchEvent event;
        if (!parseObject(item, event.object)) {
            return malformedAnswer(subject);
        }
        event.deleted = item.value("deleted", false);
        batch.events.push_back(std::move(event));
    }
    return batch;
}

} // namespace

// Runs transfers on a thread of its own; only `submit`, `counters` and `stop` are called from others.
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
        call.queued = std::chrono::steady_clock::now();
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
            takeIncoming();
            const auto wait = startWaiting(std::chrono::steady_clock::now());
            int running = 0;
            curl_multi_perform(m_multi, &running);
            if (collectFinished()) {
                continue;
            }
            curl_multi_poll(m_multi, nullptr, 0, static_cast<int>(wait.count()), nullptr);
        }
        while (!m_running.empty()) {
            release(m_running.begin()->first);
        }
    }

    void takeIncoming()
    {
        const std::scoped_lock lock(m_mutex);
        for (auto &call : m_incoming) {
            m_waiting.push_back(std::move(call));
        }
        m_incoming.clear();
        m_waitingCount = m_waiting.size();
    }

    // Starts what budget and backoff allow; returns how long until more may start.
    std::chrono::milliseconds startWaiting(TimePoint now)
    {
        expireWaiting(now);
        while (!m_waiting.empty()) {
            if (now < m_backoff.notBefore) {
                return untilNext(m_backoff.notBefore - now);
            }
            // After a failure a single call probes whether the platform works again.
            if (m_backoff.failures > 0 && m_probe != nullptr) {
                return idlePoll;
            }
            const auto wait = takeCall(m_budget, now);
            if (wait > Duration::zero()) {
                return untilNext(wait);
            }
            startCall(std::move(m_waiting.front()));
            m_waiting.pop_front();
        }
        return idlePoll;
    }

    std::chrono::milliseconds untilNext(Duration wait) const
    {
        const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(wait);
        return std::min({rounded, idlePoll, std::chrono::milliseconds(20)});
    }

    void expireWaiting(TimePoint now)
    {
        std::deque<Call> kept;
        for (auto &call : m_waiting) {
            if (now - call.queued < m_options.timeout) {
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
        setUp(*transfer);
        auto *const easy = transfer->easy;
        m_running.emplace(easy, std::move(transfer));
        curl_multi_add_handle(m_multi, easy);
        if (m_backoff.failures > 0) {
            m_probe = easy;
        }
        const std::scoped_lock lock(m_mutex);
        ++m_counters.calls;
    }

    void setUp(Transfer &transfer)
    {
        const auto &call = transfer.call;
        addHeader(transfer, "Content-Type: application/json");
        addHeader(transfer, "Expect:");
        if (!m_options.token.empty()) {
            addHeader(transfer, "Authorization: Bearer " + m_options.token);
        }
        if (!call.condition.empty()) {
            addHeader(transfer, call.condition);
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

    bool collectFinished()
    {
        bool any = false;
        int left = 0;
        while (auto *const message = curl_multi_info_read(m_multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            any = true;
            auto *const easy = message->easy_handle;
            finish(*m_running.at(easy), message->data.result);
            release(easy);
        }
        return any;
    }

    void finish(Transfer &transfer, CURLcode result)
    {
        transfer.answer.state = transferState(result);
        long status = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_RESPONSE_CODE, &status);
        transfer.answer.status = static_cast<int>(status);
        // Nothing was sent if the time limit ended the attempt to connect.
        long sent = 0;
        curl_easy_getinfo(transfer.easy, CURLINFO_REQUEST_SIZE, &sent);
        if (result == CURLE_OPERATION_TIMEDOUT && sent == 0) {
            transfer.answer.state = TransferState::NotSent;
        }
        noteHealth(transfer);
        deliver(transfer.call, std::move(transfer.answer));
    }

    void noteHealth(const Transfer &transfer)
    {
        const bool trouble = isTrouble(transfer.answer);
        if (trouble) {
            const double unit = std::uniform_real_distribution<double>(0, 1)(m_random);
            noteFailure(m_backoff, std::chrono::steady_clock::now(), unit);
            if (m_backoff.failures == 1) {
                platformLog().warn("trouble: {} {} status {}", transfer.call.method, transfer.call.path,
                                   transfer.answer.status);
            }
        } else {
            if (m_backoff.failures > 0) {
                platformLog().info("works again after {} failed calls", m_backoff.failures);
            }
            noteSuccess(m_backoff);
        }
        const std::scoped_lock lock(m_mutex);
        m_counters.failures += trouble ? 1 : 0;
        m_counters.throttled += transfer.answer.status == 429 ? 1 : 0;
        const bool lost = transfer.answer.state == TransferState::Lost;
        m_counters.outcomesUnknown += lost && transfer.call.kind == CallKind::Write ? 1 : 0;
    }

    void deliver(const Call &call, HttpAnswer answer)
    {
        asio::post(*m_control, [done = call.done, answer = std::move(answer)] { done(answer); });
    }

    void release(CURL *easy)
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
    std::size_t m_waitingCount = 0;
    PlatformCounters m_counters;

    // Used by the transfers' thread only.
    std::deque<Call> m_waiting;
    std::map<CURL *, std::unique_ptr<Transfer>> m_running;
    CallBudget m_budget;
    Backoff m_backoff;
    CURL *m_probe = nullptr; ///< The only call that starts while the platform is in trouble.
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
    const auto condition
        = object.version == 0 ? std::string("If-None-Match: *") : fmt::format("If-Match: {}", object.version);
    m_transfers->submit({
        .method = "PUT",
        .path = objectPath(object.kind, object.name),
        .body = storedValue(object).dump(),
        .condition = condition,
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
        .condition = fmt::format("If-Match: {}", object.version),
        .kind = CallKind::Write,
        .timeout = m_transfers->options().timeout,
        .done =
            [subject = subjectOf(object.kind, object.name),
             done = std::move(done)](const HttpAnswer &answer) {
                auto error = interpretAnswer(answer, CallKind::Write, subject);
                std::uint64_t revision = 0;
                if (error.code == Code::Ok
                    && !parseRevision(nlohmann::json::parse(answer.body, nullptr, false), revision)) {
                    error = {Code::PlatformOutcomeUnknown, malformedAnswer(subject).text};
                }
                done(error.code == Code::Ok ? Answer<std::uint64_t>(revision) : Answer<std::uint64_t>(error));
            },
    });
}

void PlatformClient::watch(std::vector<std::string> kinds, std::uint64_t after,
                           std::chrono::milliseconds wait, Done<WatchBatch> done)
{
    const auto joined = fmt::format("{}", fmt::join(kinds, ","));
    m_transfers->submit({
        .method = "GET",
        .path
        = fmt::format("/v1/watch?kinds={}&after={}&wait_ms={}", fmt::join(kinds, "%2C"), after, wait.count()),
        .timeout = wait + m_transfers->options().timeout,
        .done = [subject = fmt::format("watch of \"{}\"", joined),
                 done = std::move(done)](const HttpAnswer &answer) { done(watchAnswer(answer, subject)); },
    });
}

} // namespace oriolelever
