#include "trace.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <fstream>
#include <sstream>

#include <fmt/format.h>

namespace oriolelever::lab {

namespace {

enum class Shape { Flow, Number, NameNumber, NumberName, NameOther, Name, Nothing };

struct KindRow
{
    EventKind kind;
    std::string_view word;
    Shape shape;
};

constexpr auto kinds = std::to_array<KindRow>({
    {EventKind::Open, "open", Shape::Flow},
    {EventKind::Packet, "packet", Shape::Number},
    {EventKind::Close, "close", Shape::Number},
    {EventKind::Drain, "drain", Shape::NameNumber},
    {EventKind::Undrain, "undrain", Shape::NameNumber},
    {EventKind::ZoneOut, "zone-out", Shape::NameNumber},
    {EventKind::ZoneReturn, "zone-return", Shape::NameNumber},
    {EventKind::Reach, "reach", Shape::NumberName},
    {EventKind::Replace, "replace", Shape::Name},
    {EventKind::Move, "move", Shape::NameOther},
    {EventKind::Crash, "crash", Shape::Name},
    {EventKind::Start, "start", Shape::Name},
    {EventKind::RestartAgent, "restart-agent", Shape::Name},
    {EventKind::RestartBalancer, "restart-balancer", Shape::Name},
    {EventKind::Pause, "pause", Shape::Name},
    {EventKind::Resume, "resume", Shape::Name},
    {EventKind::TurnCold, "turn-cold", Shape::Name},
    {EventKind::StoreDown, "store-down", Shape::Nothing},
    {EventKind::StoreUp, "store-up", Shape::Nothing},
    {EventKind::StoreAnswerLost, "store-answer-lost", Shape::Nothing},
});

const KindRow &rowOf(EventKind kind)
{
    return *std::find_if(kinds.begin(), kinds.end(), [&](const KindRow &row) { return row.kind == kind; });
}

std::string writeEvent(const Event &event)
{
    const auto &row = rowOf(event.kind);
    const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(event.at).count();
    const auto head = fmt::format("at {} {}", micros, row.word);
    switch (row.shape) {
    case Shape::Flow:
        return fmt::format("{} {} {} {}\n", head, event.number, event.name, event.other);
    case Shape::Number:
        return fmt::format("{} {} {}\n", head, event.number, event.other);
    case Shape::NameNumber:
        return fmt::format("{} {} {}\n", head, event.name, event.number);
    case Shape::NumberName:
        return fmt::format("{} {} {}\n", head, event.number, event.name);
    case Shape::NameOther:
        return fmt::format("{} {} {}\n", head, event.name, event.other);
    case Shape::Name:
        return fmt::format("{} {}\n", head, event.name);
    case Shape::Nothing:
        break;
    }
    return head + "\n";
}

// Words of one line; the first failure names the word at fault.
class Words
{
public:
    explicit Words(const std::string &line)
        : m_stream(line)
    {
    }

    std::string text()
    {
        std::string word;
        if (!(m_stream >> word)) {
            m_fault = m_fault.empty() ? "end of line" : m_fault;
        }
        return word;
    }

    template<typename T>
    T number()
    {
        const auto word = text();
        T value{};
        const auto [end, error] = std::from_chars(word.data(), word.data() + word.size(), value);
        if ((error != std::errc{} || end != word.data() + word.size()) && m_fault.empty()) {
            m_fault = word;
        }
        return value;
    }

    void reject(const std::string &word)
    {
        m_fault = m_fault.empty() ? word : m_fault;
    }

    /// The first word at fault so far, or nothing.
    const std::string &error() const
    {
        return m_fault;
    }

    /// The same at the end of a line, where any further word is at fault.
    std::string fault()
    {
        std::string rest;
        if (m_fault.empty() && m_stream >> rest) {
            return rest;
        }
        return m_fault;
    }

private:
    std::istringstream m_stream;
    std::string m_fault;
};

Event readEvent(Words &words)
{
    Event event{.at = std::chrono::microseconds(words.number<std::int64_t>())};
    const auto word = words.text();
    const auto row
        = std::find_if(kinds.begin(), kinds.end(), [&](const KindRow &r) { return r.word == word; });
    if (row == kinds.end()) {
        words.reject(word);
        return event;
    }
    event.kind = row->kind;
    switch (row->shape) {
    case Shape::Flow:
        event.number = words.number<std::uint64_t>();
        event.name = words.text();
        event.other = words.text();
        break;
    case Shape::Number:
        event.number = words.number<std::uint64_t>();
        event.other = words.text();
        break;
    case Shape::NameNumber:
        event.name = words.text();
        event.number = words.number<std::uint64_t>();
        break;
    case Shape::NumberName:
        event.number = words.number<std::uint64_t>();
        event.name = words.text();
        break;
    case Shape::NameOther:
        event.name = words.text();
        event.other = words.text();
        break;
    case Shape::Name:
        event.name = words.text();
        break;
    case Shape::Nothing:
        break;
    }
    return event;
}

Protocol readProtocol(Words &words)
{
    const auto word = words.text();
    if (word != "tcp" && word != "udp") {
        words.reject(word);
    }
    return word == "udp" ? Protocol::Udp : Protocol::Tcp;
}

TraceService readService(Words &words)
{
    TraceService service;
    service.name = words.text();
    service.protocol = readProtocol(words);
    service.limit = words.number<std::uint32_t>();
    service.nominal = words.number<std::uint32_t>();
    service.ramp = std::chrono::milliseconds(words.number<std::int64_t>());
    return service;
}

// "require <= 0 flows broken by planned change"
Requirement readRequirement(Words &words, const std::string &line)
{
    Requirement out;
    const auto sign = words.text();
    if (sign != "<=" && sign != ">=") {
        words.reject(sign);
    }
    out.atMost = sign == "<=";
    out.bound = words.number<double>();
    std::istringstream rest(line);
    std::string skipped;
    rest >> skipped >> skipped >> skipped;
    std::getline(rest >> std::ws, out.figure);
    return out;
}

template<typename T>
T readTime(Words &words)
{
    return T(words.number<std::int64_t>());
}

// Header lines; false when the word is none of them.
bool readHeader(const std::string &word, Words &words, Trace &trace)
{
    using namespace std::chrono;
    if (word == "case") {
        trace.caseName = words.text();
    } else if (word == "deployment") {
        trace.deployment = words.text();
    } else if (word == "seed") {
        trace.seed = words.number<std::uint64_t>();
    } else if (word == "length-ms") {
        trace.length = readTime<milliseconds>(words);
    } else if (word == "delay-us") {
        trace.delay = readTime<microseconds>(words);
    } else if (word == "jitter-us") {
        trace.jitter = readTime<microseconds>(words);
    } else if (word == "caller-delay-us") {
        trace.callerDelay = readTime<microseconds>(words);
    } else if (word == "spread-ms") {
        trace.spread = readTime<milliseconds>(words);
    } else if (word == "detection-ms") {
        trace.detection = readTime<milliseconds>(words);
    } else if (word == "loss") {
        trace.loss = words.number<double>();
    } else if (word == "doubled") {
        trace.doubled = words.number<double>();
    } else {
        return false;
    }
    return true;
}

// Returns the word at fault, or nothing.
std::string readLine(const std::string &line, Trace &trace)
{
    Words words(line);
    const auto word = words.text();
    if (word == "at") {
        trace.events.push_back(readEvent(words));
    } else if (word == "balancer") {
        trace.balancers.push_back(words.text());
    } else if (word == "zone") {
        trace.zones.push_back(words.text());
    } else if (word == "service") {
        trace.services.push_back(readService(words));
    } else if (word == "server") {
        TraceServer server;
        server.name = words.text();
        server.zone = words.text();
        server.service = words.text();
        trace.servers.push_back(server);
    } else if (word == "require") {
        trace.requirements.push_back(readRequirement(words, line));
        return trace.requirements.back().figure.empty() ? "end of line" : words.error();
    } else if (!readHeader(word, words, trace)) {
        return word;
    }
    return words.fault();
}

template<typename Items, typename Name>
bool contains(const Items &items, const Name &name)
{
    return std::any_of(items.begin(), items.end(), [&](const auto &item) { return item.name == name; });
}

bool containsName(const std::vector<std::string> &names, const std::string &name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

// The name in `event` that the trace does not declare, or nothing.
std::string unknownName(const Trace &trace, const Event &event)
{
    const bool node = contains(trace.servers, event.name) || containsName(trace.balancers, event.name);
    switch (event.kind) {
    case EventKind::Open:
        if (!contains(trace.services, event.name)) {
            return event.name;
        }
        return containsName(trace.balancers, event.other) ? "" : event.other;
    case EventKind::Packet:
    case EventKind::Close:
        return containsName(trace.balancers, event.other) ? "" : event.other;
    case EventKind::ZoneOut:
    case EventKind::ZoneReturn:
        return containsName(trace.zones, event.name) ? "" : event.name;
    case EventKind::Reach:
    case EventKind::Pause:
    case EventKind::Resume:
        return node ? "" : event.name;
    case EventKind::RestartBalancer:
        return containsName(trace.balancers, event.name) ? "" : event.name;
    case EventKind::Move:
        return contains(trace.services, event.other) && contains(trace.servers, event.name) ? ""
                                                                                            : event.other;
    case EventKind::StoreDown:
    case EventKind::StoreUp:
    case EventKind::StoreAnswerLost:
        return "";
    default:
        return contains(trace.servers, event.name) ? "" : event.name;
    }
}

} // namespace

std::string writeTrace(const Trace &trace)
{
    std::string out = fmt::format(
        "case {}\ndeployment {}\nseed {}\nlength-ms {}\ndelay-us {}\njitter-us {}\ncaller-delay-us {}\n"
        "spread-ms {}\ndetection-ms {}\nloss {}\ndoubled {}\n",
        trace.caseName, trace.deployment, trace.seed, trace.length.count(), trace.delay.count(),
        trace.jitter.count(), trace.callerDelay.count(), trace.spread.count(), trace.detection.count(),
        trace.loss, trace.doubled);
    for (const auto &name : trace.balancers) {
        out += fmt::format("balancer {}\n", name);
    }
    for (const auto &name : trace.zones) {
        out += fmt::format("zone {}\n", name);
    }
    for (const auto &service : trace.services) {
        out += fmt::format("service {} {} {} {} {}\n", service.name,
                           service.protocol == Protocol::Udp ? "udp" : "tcp", service.limit, service.nominal,
                           service.ramp.count());
    }
    for (const auto &server : trace.servers) {
        out += fmt::format("server {} {} {}\n", server.name, server.zone, server.service);
    }
    for (const auto &requirement : trace.requirements) {
        out += fmt::format("require {} {} {}\n", requirement.atMost ? "<=" : ">=", requirement.bound,
                           requirement.figure);
    }
    for (const auto &event : trace.events) {
        out += writeEvent(event);
    }
    return out;
}

Result<Trace> readTrace(const std::string &file)
{
    std::ifstream in(file);
    if (!in) {
        return fail(Code::FileUnreadable, fmt::format("trace \"{}\" cannot be read", file));
    }
    Trace trace;
    std::string line;
    for (int number = 1; std::getline(in, line); ++number) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        auto fault = readLine(line, trace);
        if (fault.empty() && line.starts_with("at ")) {
            fault = unknownName(trace, trace.events.back());
        }
        if (!fault.empty()) {
            return fail(Code::TableInvalid,
                        fmt::format("{}:{}: \"{}\" is not allowed here", file, number, fault));
        }
    }
    if (trace.services.empty() || trace.servers.empty() || trace.balancers.empty()) {
        return fail(Code::TableInvalid,
                    fmt::format("{}:0: services, servers and balancers are required", file));
    }
    std::stable_sort(trace.events.begin(), trace.events.end(),
                     [](const Event &a, const Event &b) { return a.at < b.at; });
    return trace;
}

} // namespace oriolelever::lab
