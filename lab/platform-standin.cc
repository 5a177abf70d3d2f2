#include "platform-standin.h"

#include <algorithm>
#include <charconv>
#include <future>
#include <list>
#include <thread>

#include <restinio/all.hpp>

#include "object-store.h"

namespace oriolelever::lab {

namespace {

using Json = nlohmann::json;
using Traits = restinio::single_thread_traits_t<restinio::asio_timer_manager_t, restinio::null_logger_t>;
using Request = restinio::request_handle_t;

constexpr std::chrono::milliseconds maxWatchWait = std::chrono::minutes(5);

struct Faults
{
    bool down = false;
    bool hang = false;
    std::uint64_t slowMs = 0;
    std::uint64_t loseAnswers = 0;
    std::uint64_t staleReads = 0;
    std::uint64_t writesPerSecond = 0;
    std::uint64_t readsPerSecond = 0;
};

struct Counters
{
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    std::uint64_t throttled = 0;
};

struct WaitingWatch
{
    Request request;
    std::vector<std::string> kinds;
    std::uint64_t after = 0;
    std::unique_ptr<asio::steady_timer> timer;
};

Json toJson(const Object &object)
{
    return {{"kind", object.kind},
            {"name", object.name},
            {"version", object.version},
            {"value", storedValue(object)}};
}

std::vector<std::string> split(std::string_view text, char separator)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = text.find(separator);
        parts.emplace_back(text.substr(0, end));
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return parts;
}

std::uint64_t number(std::string_view text)
{
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

restinio::http_status_line_t statusOf(Code code)
{
    switch (code) {
    case Code::NotFound:
        return restinio::status_not_found();
    case Code::PlatformConflict:
        return restinio::status_precondition_failed();
    default:
        return restinio::status_bad_request();
    }
}

} // namespace

class PlatformStandin::Server
{
public:
    explicit Server(const StandinOptions &options)
        : m_token(options.token)
        , m_http(restinio::external_io_context(m_context),
                 [&](auto &settings) { configure(settings, options); })
        , m_work(asio::make_work_guard(m_context))
    {
        m_thread = std::thread([this] { m_context.run(); });
        try {
            m_http.open_sync();
        } catch (...) {
            join();
            throw;
        }
    }

    ~Server()
    {
        onThread([this] {
            m_watches.clear();
            m_http.close_async([] {}, [](const std::exception_ptr &) {});
        });
        join();
    }

    std::uint16_t port() const
    {
        return m_port;
    }

    template<typename Function>
    void onThread(Function function)
    {
        std::promise<void> done;
        asio::post(m_context, [&] {
            function();
            done.set_value();
        });
        done.get_future().wait();
    }

    void setFaults(const Json &json)
    {
        m_faults.down = json.value("down", m_faults.down);
        m_faults.hang = json.value("hang", m_faults.hang);
        m_faults.slowMs = json.value("slow_ms", m_faults.slowMs);
        m_faults.loseAnswers = json.value("lose_answers", m_faults.loseAnswers);
        m_faults.staleReads = json.value("stale_reads", m_faults.staleReads);
        m_faults.writesPerSecond = json.value("writes_per_second", m_faults.writesPerSecond);
        m_faults.readsPerSecond = json.value("reads_per_second", m_faults.readsPerSecond);
        m_writeBudget = budgetOf(m_faults.writesPerSecond);
        m_readBudget = budgetOf(m_faults.readsPerSecond);
        if (json.value("end_watches", false)) {
            m_store.dropLog();
            while (!m_watches.empty()) {
                respond(m_watches.front().request, restinio::status_gone(),
                        Json{{"revision", m_store.revision()}});
                m_watches.pop_front();
            }
        }
    }

    Json counters() const
    {
        return {{"reads", m_counters.reads},
                {"writes", m_counters.writes},
                {"watches", m_counters.watches},
                {"throttled", m_counters.throttled}};
    }

private:
    template<typename Settings>
    void configure(Settings &settings, const StandinOptions &options)
    {
        settings.port(options.port)
            .address(options.address)
            .handle_request_timeout(maxWatchWait + std::chrono::seconds(10))
            .read_next_http_message_timelimit(std::chrono::minutes(10))
            .acceptor_post_bind_hook([this](auto &acceptor) { m_port = acceptor.local_endpoint().port(); })
            .request_handler([this](const Request &request) {
                handle(request);
                return restinio::request_accepted();
            });
    }

    void join()
    {
        m_work.reset();
        m_context.stop();
        m_thread.join();
    }

    static CallBudget budgetOf(std::uint64_t rate)
    {
        const auto perSecond = static_cast<double>(rate);
        return {.callsPerSecond = perSecond,
                .burst = perSecond,
                .tokens = perSecond,
                .refilledAt = std::chrono::steady_clock::now()};
    }

    void handle(const Request &request)
    {
        const auto parts = split(request->header().path(), '/');
        if (parts.size() == 2 && parts[1] == "fault") {
            handleFault(request);
            return;
        }
        if (m_faults.hang) {
            m_held.push_back(request);
            return;
        }
        if (m_faults.slowMs == 0) {
            serve(request, parts);
            return;
        }
        auto timer
            = std::make_shared<asio::steady_timer>(m_context, std::chrono::milliseconds(m_faults.slowMs));
        timer->async_wait([this, timer, request, parts](const asio::error_code &) { serve(request, parts); });
    }

    void handleFault(const Request &request)
    {
        if (request->header().method() == restinio::http_method_put()) {
            const auto json = Json::parse(request->body(), nullptr, false);
            if (!json.is_object()) {
                respond(request, restinio::status_bad_request(), Json{{"error", "a JSON object is needed"}});
                return;
            }
            setFaults(json);
        }
        respond(request, restinio::status_ok(), counters());
    }

    void serve(const Request &request, const std::vector<std::string> &parts)
    {
        if (m_faults.down) {
            respond(request, restinio::status_service_unavailable(), Json::object());
            return;
        }
        if (!isPermitted(request)) {
            respond(request, restinio::status_unauthorized(), Json::object());
            return;
        }
        const auto method = request->header().method();
        const bool write = method != restinio::http_method_get();
        if (!isWithinRate(write)) {
            ++m_counters.throttled;
            respond(request, restinio::status_too_many_requests(), Json::object());
            return;
        }
        const bool objects = parts.size() >= 4 && parts[1] == "v1" && parts[2] == "objects";
        if (parts.size() == 3 && parts[1] == "v1" && parts[2] == "watch") {
            serveWatch(request);
        } else if (objects && parts.size() == 4 && !write) {
            serveList(request, parts[3]);
        } else if (objects && parts.size() == 5 && !write) {
            serveRead(request, parts[3], parts[4]);
        } else if (objects && parts.size() == 5) {
            serveWrite(request, parts[3], parts[4]);
        } else {
            respond(request, restinio::status_bad_request(), Json{{"error", "unknown path"}});
        }
    }

    bool isPermitted(const Request &request) const
    {
        const auto given = request->header().get_field_or(restinio::http_field::authorization, "");
        return m_token.empty() || given == "Bearer " + m_token;
    }

    bool isWithinRate(bool write)
    {
        const auto rate = write ? m_faults.writesPerSecond : m_faults.readsPerSecond;
        auto &budget = write ? m_writeBudget : m_readBudget;
        return rate == 0 || acquireCall(budget, std::chrono::steady_clock::now()) == Duration::zero();
    }

    void serveList(const Request &request, const std::string &kind)
    {
        ++m_counters.reads;
        const auto list = m_store.list(kind);
        Json json{{"revision", list.position.revision}, {"objects", Json::array()}};
        for (const auto &object : list.objects) {
            json["objects"].push_back(toJson(object));
        }
        respond(request, restinio::status_ok(), json);
    }

    void serveRead(const Request &request, const std::string &kind, const std::string &name)
    {
        ++m_counters.reads;
        const auto previous = m_previous.find(kind + "/" + name);
        if (m_faults.staleReads > 0 && previous != m_previous.end()) {
            --m_faults.staleReads;
            respond(request, restinio::status_ok(), toJson(previous->second));
            return;
        }
        respondObject(request, m_store.read(kind, name));
    }

    void serveWrite(const Request &request, const std::string &kind, const std::string &name)
    {
        ++m_counters.writes;
        const auto version = number(request->header().get_field_or(restinio::http_field::if_match, "0"));
        const auto before = m_store.read(kind, name);
        if (request->header().method() == restinio::http_method_delete()) {
            const auto removed = m_store.remove(kind, name, version);
            wakeWatches();
            if (isLost()) {
                m_held.push_back(request);
            } else if (removed) {
                respond(request, restinio::status_ok(), Json{{"revision", removed.value()}});
            } else {
                respond(request, statusOf(removed.error().code), Json{{"error", removed.error().text}});
            }
            return;
        }
        Object object;
        const Json wrapped{{"kind", kind},
                           {"name", name},
                           {"version", version},
                           {"value", Json::parse(request->body(), nullptr, false)}};
        parseObject(wrapped, object);
        if (!object.value.is_object()) {
            respond(request, restinio::status_bad_request(), Json{{"error", "a JSON object is needed"}});
            return;
        }
        const auto stored = m_store.write(object);
        if (stored && before) {
            m_previous[kind + "/" + name] = before.value();
        }
        wakeWatches();
        if (isLost()) {
            m_held.push_back(request);
            return;
        }
        respondObject(request, stored);
    }

    bool isLost()
    {
        if (m_faults.loseAnswers == 0) {
            return false;
        }
        --m_faults.loseAnswers;
        return true;
    }

    void serveWatch(const Request &request)
    {
        ++m_counters.watches;
        const auto query = restinio::parse_query(request->header().query());
        const std::string kinds(query.has("kinds") ? std::string(query["kinds"]) : "");
        const auto after = query.has("after") ? number(std::string(query["after"])) : 0;
        const auto wait = query.has("wait_ms") ? number(std::string(query["wait_ms"])) : 0;
        m_watches.push_back({request, split(kinds, ','), after, nullptr});
        const auto watch = std::prev(m_watches.end());
        if (wakeWatch(*watch, wait == 0)) {
            m_watches.erase(watch);
            return;
        }
        const auto limit = std::min(std::chrono::milliseconds(wait), maxWatchWait);
        watch->timer = std::make_unique<asio::steady_timer>(m_context, limit);
        watch->timer->async_wait([this, watch](const asio::error_code &error) {
            if (error) {
                return;
            }
            wakeWatch(*watch, true);
            m_watches.erase(watch);
        });
    }

    void wakeWatches()
    {
        for (auto watch = m_watches.begin(); watch != m_watches.end();) {
            watch = wakeWatch(*watch, false) ? m_watches.erase(watch) : std::next(watch);
        }
    }

    // Answers when there is something to tell or `force` is set.
    bool wakeWatch(WaitingWatch &watch, bool force)
    {
        const auto batch = m_store.changes(watch.kinds, watch.after);
        if (batch.restart) {
            respond(watch.request, restinio::status_gone(), Json{{"revision", batch.position.revision}});
            return true;
        }
        if (batch.events.empty() && !force) {
            return false;
        }
        Json json{{"revision", batch.position.revision}, {"events", Json::array()}};
        for (const auto &event : batch.events) {
            auto item = toJson(event.object);
            item["deleted"] = event.deleted;
            json["events"].push_back(std::move(item));
        }
        respond(watch.request, restinio::status_ok(), json);
        return true;
    }

    void respondObject(const Request &request, const Answer<Object> &answer)
    {
        if (answer) {
            respond(request, restinio::status_ok(), toJson(answer.value()));
        } else {
            respond(request, statusOf(answer.error().code), Json{{"error", answer.error().text}});
        }
    }

    static void respond(const Request &request, restinio::http_status_line_t status, const Json &json)
    {
        request->create_response(std::move(status))
            .append_header(restinio::http_field::content_type, "application/json")
            .set_body(json.dump())
            .done();
    }

    std::string m_token;
    ObjectStore m_store;
    std::map<std::string, Object> m_previous; ///< State before the last write, for stale reads.
    Faults m_faults;
    Counters m_counters;
    CallBudget m_writeBudget;
    CallBudget m_readBudget;
    asio::io_context m_context;
    std::list<WaitingWatch> m_watches;
    std::vector<Request> m_held; ///< Requests that get no answer.
    std::uint16_t m_port = 0;
    restinio::http_server_t<Traits> m_http;
    asio::executor_work_guard<asio::io_context::executor_type> m_work;
    std::thread m_thread;
};

PlatformStandin::PlatformStandin(const StandinOptions &options)
    : m_server(std::make_unique<Server>(options))
{
}

PlatformStandin::~PlatformStandin() = default;

std::uint16_t PlatformStandin::port() const
{
    return m_server->port();
}

void PlatformStandin::setFaults(const nlohmann::json &faults)
{
    m_server->onThread([&] { m_server->setFaults(faults); });
}

nlohmann::json PlatformStandin::counters() const
{
    nlohmann::json counters;
    m_server->onThread([&] { counters = m_server->counters(); });
    return counters;
}

} // namespace oriolelever::lab
