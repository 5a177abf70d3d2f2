#include "oriolelever/operator.h"

#include <algorithm>
#include <thread>

#include <absl/flags/flag.h>
#include <curl/curl.h>
#include <fmt/format.h>

#include "oriolelever/cli.h"
#include "oriolelever/flags.h"
#include "oriolelever/json-parts.h"
#include "oriolelever/log.h"

namespace oriolelever {

namespace {

constexpr std::chrono::milliseconds minPollInterval{50};
constexpr std::chrono::milliseconds maxPollInterval{800};
constexpr std::chrono::milliseconds curlPollTimeout{100}; ///< Longest wait for socket events in one poll.
constexpr std::chrono::milliseconds queryTimeout{2000};
constexpr long maxConnections = 64;
constexpr std::size_t maxBodyBytes = 64UL << 20; ///< A larger response fails.

// Write callback of curl; any return value but the size aborts the transfer.
std::size_t appendToBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto &body = static_cast<FetchResult *>(user)->body;
    if (body.size() + size * count > maxBodyBytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

CURL *startFetch(FetchResult &out, const std::string &path, const curl_slist *headers,
                 std::chrono::milliseconds timeout)
{
    auto *const easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, fmt::format("http://{}{}", toString(out.from), path).c_str());
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, appendToBody);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &out);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &out);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    return easy;
}

// Stores the status of completed transfers and frees their handles.
void finishFetches(CURLM *multi)
{
    int left = 0;
    while (auto *const message = curl_multi_info_read(multi, &left)) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        auto *const easy = message->easy_handle;
        FetchResult *out = nullptr;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &out);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        out->status = message->data.result == CURLE_OK ? static_cast<int>(status) : 0;
        curl_multi_remove_handle(multi, easy);
        curl_easy_cleanup(easy);
    }
}

void printOutcome(const EditOutcome &outcome)
{
    fmt::print("row: {}\nversion: {}\n", toString(outcome.key), outcome.version);
    for (const auto &change : outcome.changes) {
        fmt::print("{}: {} -> {}\n", change.column, change.from.empty() ? "(none)" : change.from, change.to);
    }
    if (outcome.changes.empty()) {
        fmt::print("changed: nothing\n");
    }
}

// Waits until an edit is in force and prints the result. Returns the exit status.
int waitAndReport(Operator &session, const EditOutcome &outcome)
{
    const auto started = std::chrono::steady_clock::now();
    const std::chrono::milliseconds limit(absl::GetFlag(FLAGS_timeout));
    const auto inForce = session.waitUntilInForce(outcome.key, outcome.version, started + limit);
    const auto elapsed
        = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - started);
    if (!inForce.hasAnswer) {
        fmt::print("in force: unknown\n");
        return reportError(
            {Code::NotInForce,
             "no process of setting \"operator.admin\" answered whether the version is in force"});
    }
    fmt::print("in force: {} of {}\nwaited ms: {}\n", inForce.confirmedProcesses, inForce.askedProcesses,
               elapsed.count());
    for (const auto &name : inForce.unconfirmedProcesses) {
        fmt::print("not confirmed: {}\n", name);
    }
    if (isInForceEverywhere(inForce, 1)) {
        return exitOk;
    }
    return reportError({Code::NotInForce,
                        fmt::format("version {} of \"{}\" is not in force everywhere after {} ms",
                                    outcome.version, toString(outcome.key), elapsed.count())});
}

} // namespace

std::vector<FetchResult> fetchAll(const std::vector<Endpoint> &addresses, const std::string &path,
                                  const std::string &token, std::chrono::milliseconds timeout)
{
    curl_slist *headers = nullptr;
    if (!token.empty()) {
        headers = curl_slist_append(nullptr, ("Authorization: Bearer " + token).c_str());
    }
    std::vector<FetchResult> fetched(addresses.size());
    auto *const multi = curl_multi_init();
    curl_multi_setopt(multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, maxConnections);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        fetched[i].from = addresses[i];
        curl_multi_add_handle(multi, startFetch(fetched[i], path, headers, timeout));
    }
    int running = 1;
    while (running > 0) {
        curl_multi_perform(multi, &running);
        finishFetches(multi);
        if (running > 0) {
            curl_multi_poll(multi, nullptr, 0, static_cast<int>(curlPollTimeout.count()), nullptr);
        }
    }
    finishFetches(multi);
    curl_multi_cleanup(multi);
    curl_slist_free_all(headers);
    return fetched;
}

std::vector<ProcessStatus> readStatuses(const Settings &settings, std::chrono::milliseconds timeout)
{
    std::vector<ProcessStatus> statuses;
    for (auto &fetched : fetchAll(settings.addresses("operator", "admin"), "/status",
                                  settings.text("operator", "token"), timeout)) {
        ProcessStatus status{.admin = fetched.from};
        status.status = decodeJson(fetched.body);
        status.hasAnswered = fetched.status == 200 && status.status.is_object();
        statuses.push_back(std::move(status));
    }
    return statuses;
}

bool isInForceEverywhere(const InForce &inForce, std::uint64_t minProcesses)
{
    return inForce.hasAnswer && inForce.askedProcesses >= minProcesses
        && inForce.confirmedProcesses == inForce.askedProcesses && inForce.unconfirmedProcesses.empty();
}

InForce parseInForceAnswers(const std::vector<FetchResult> &answers)
{
    InForce best;
    for (const auto &answer : answers) {
        const auto json = decodeJson(answer.body);
        if (answer.status != 200 || !json.is_object() || !json.contains("asked")) {
            continue;
        }
        InForce inForce{.hasAnswer = true,
                        .from = answer.from,
                        .askedProcesses = json.value("asked", std::uint64_t(0)),
                        .confirmedProcesses = json.value("confirmed", std::uint64_t(0)),
                        .unconfirmedProcesses = json.value("missing", std::vector<std::string>())};
        if (!best.hasAnswer || inForce.askedProcesses > best.askedProcesses) {
            best = std::move(inForce);
        }
    }
    return best;
}

Operator::Operator(Settings settings)
    : m_settings(std::move(settings))
    , m_work(asio::make_work_guard(m_control))
    , m_client(platformOptions(m_settings))
{
    m_client.startOn(m_control);
}

Operator::~Operator() = default;

Answer<std::vector<TableRow>> Operator::readRows()
{
    std::vector<TableRow> rows;
    for (const auto kind : {RowKind::Service, RowKind::Zone, RowKind::Server}) {
        const auto answer = wait<ObjectList>(
            [&](Done<ObjectList> done) { api().list(std::string(toString(kind)), std::move(done)); });
        if (!answer) {
            return answer.error();
        }
        for (const auto &object : answer.value().objects) {
            rows.push_back(rowFromObject(object));
        }
    }
    return rows;
}

Answer<EditOutcome> Operator::apply(const RowEdit &edit, bool create)
{
    const EditOptions options{
        .author = m_settings.text("process", "name"),
        .time = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now()),
        .create = create,
    };
    return wait<EditOutcome>(
        [&](Done<EditOutcome> done) { applyEdit(api(), edit, options, std::move(done)); });
}

InForce Operator::waitUntilInForce(const RowKey &key, std::uint64_t version, TimePoint deadline,
                                   std::uint64_t minProcesses)
{
    auto addresses = m_settings.addresses("operator", "admin");
    const auto &token = m_settings.text("operator", "token");
    const auto path
        = fmt::format("/in-force?kind={}&name={}&version={}", toString(key.kind), key.name, version);
    InForce inForce;
    auto interval = minPollInterval;
    while (true) {
        inForce = parseInForceAnswers(fetchAll(addresses, path, token, queryTimeout));
        if (isInForceEverywhere(inForce, minProcesses) || std::chrono::steady_clock::now() >= deadline) {
            return inForce;
        }
        // Each queried process asks all live ones, so only the one that knows the most is polled from now on.
        if (inForce.hasAnswer && inForce.askedProcesses >= minProcesses) {
            addresses = {inForce.from};
        }
        std::this_thread::sleep_for(interval);
        interval = std::min(2 * interval, maxPollInterval);
    }
}

bool Operator::mayNodeExist(const std::string &node) const
{
    const auto answers = fetchAll(m_settings.addresses("operator", "admin"), "/node?name=" + node,
                                  m_settings.text("operator", "token"), queryTimeout);
    bool isDenied = false;
    for (const auto &answer : answers) {
        if (answer.status == 200) {
            return true;
        }
        // The query answers "null" for an unknown node; a 404 with another body is for an unknown path.
        isDenied = isDenied || (answer.status == 404 && answer.body == "null");
    }
    return !isDenied;
}

std::optional<Settings> operatorSettings()
{
    const auto file = absl::GetFlag(FLAGS_config);
    if (file.empty()) {
        usageError("flag \"--config\" is missing; it names the operator's settings file");
        return std::nullopt;
    }
    std::vector<Problem> problems;
    auto settings = readSettings(file, settingSpecs("operator"), problems);
    for (const auto &problem : problems) {
        usageError(toString(problem));
    }
    if (!problems.empty()) {
        return std::nullopt;
    }
    LogLevel level = LogLevel::Warn;
    parseLogLevel(settings.text("process", "log"), level);
    initLogging(level);
    return settings;
}

int reportError(const Error &error)
{
    usageError(fmt::format("{} ({} {})", error.text, static_cast<int>(error.code), toString(error.code)));
    // Codes below 200 concern the command line, settings and tables.
    const bool isInputError = static_cast<int>(error.code) < static_cast<int>(Code::PlatformUnreachable);
    return isInputError ? exitUsage : exitOutcomeMissed;
}

int runEdits(const std::vector<RowEdit> &edits, bool create)
{
    const auto settings = operatorSettings();
    if (!settings) {
        return exitUsage;
    }
    Operator session(*settings);
    int status = exitOk;
    std::vector<EditOutcome> outcomes;
    for (const auto &edit : edits) {
        if (edit.key.kind == RowKind::Server && !session.mayNodeExist(edit.key.name)) {
            const auto text = fmt::format("server \"{}\" does not exist", edit.key.name);
            status = std::max(status, reportError({Code::NotFound, text}));
            continue;
        }
        const auto answer = session.apply(edit, create);
        if (!answer) {
            status = std::max(status, reportError(answer.error()));
            continue;
        }
        printOutcome(answer.value());
        outcomes.push_back(answer.value());
    }
    if (session.lostWriteAnswers() > 0) {
        fmt::print("lost answers resolved by reading back: {}\n", session.lostWriteAnswers());
    }
    if (!absl::GetFlag(FLAGS_wait)) {
        return status;
    }
    for (const auto &outcome : outcomes) {
        status = std::max(status, waitAndReport(session, outcome));
    }
    return status;
}

} // namespace oriolelever
