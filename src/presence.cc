#include "oriolelever/presence.h"

#include <random>

#include <asio/steady_timer.hpp>

#include "oriolelever/object-follower.h"

namespace oriolelever {

namespace {

constexpr const char *hostMember = "host";

} // namespace

bool parsePresence(const Object &object, IpAddress &out)
{
    if (!object.value.is_object() || !object.value.contains(hostMember)
        || !object.value[hostMember].is_string()) {
        return false;
    }
    return parseIpAddress(object.value[hostMember].get<std::string>(), out);
}

struct Presence::State : std::enable_shared_from_this<State>
{
    State(asio::io_context &context, ObjectApi &objectApi, PresenceOptions presenceOptions,
          Events presenceEvents)
        : api(objectApi)
        , options(std::move(presenceOptions))
        , events(std::move(presenceEvents))
        , timer(context)
        , random(std::random_device{}())
    {
    }

    Object ownObject(std::uint64_t version) const
    {
        return {.kind = options.kind,
                .name = options.name,
                .version = version,
                .value = {{hostMember, toString(options.host)}}};
    }

    void create()
    {
        write(0);
    }

    void write(std::uint64_t version)
    {
        lastWrite = std::chrono::steady_clock::now();
        api.write(ownObject(version), {}, [self = shared_from_this()](const Answer<Object> &answer) {
            if (self->stopped) {
                return;
            }
            if (answer) {
                self->written(answer.value());
            } else if (answer.error().code == Code::PlatformConflict) {
                self->compare();
            } else {
                self->retry(answer.error(), &State::create);
            }
        });
    }

    // An earlier start of this process, or a lost answer, may have written the entry already.
    void compare()
    {
        api.read(options.kind, options.name, [self = shared_from_this()](const Answer<Object> &answer) {
            if (self->stopped) {
                return;
            }
            if (!answer) {
                self->retry(answer.error(), &State::create);
                return;
            }
            IpAddress host;
            if (parsePresence(answer.value(), host) && host == self->options.host) {
                self->written(answer.value());
            } else {
                self->write(answer.value().version);
            }
        });
    }

    void written(const Object &object)
    {
        version = object.version;
        failures = 0;
        events.entry(true, options.name);
        if (!hasListed) {
            list();
        }
    }

    void list()
    {
        const auto done = [self = shared_from_this()](const Answer<ObjectList> &answer) {
            if (!self->stopped) {
                self->takeList(answer);
            }
        };
        if (hasListed) {
            api.listStale(options.wantedKind, done);
        } else {
            api.list(options.wantedKind, done);
        }
    }

    void takeList(const Answer<ObjectList> &answer)
    {
        if (!answer) {
            retry(answer.error(), &State::list);
            return;
        }
        failures = 0;
        hasListed = true;
        std::vector<IpAddress> hosts;
        for (const auto &object : answer.value().objects) {
            IpAddress host;
            if (parsePresence(object, host)) {
                hosts.push_back(host);
            }
        }
        events.listed(hosts);
        after(options.refresh, &State::list);
    }

    void retry(const Error &error, void (State::*again)())
    {
        if (++failures == 1) {
            events.entry(false, error.text);
        }
        const FollowerOptions pace{.firstRetry = options.firstRetry, .longestRetry = options.longestRetry};
        const double unit = std::uniform_real_distribution<double>(0, 1)(random);
        after(followerBackoff(pace, failures, unit), again);
    }

    void after(std::chrono::milliseconds wait, void (State::*again)())
    {
        timer.expires_after(wait);
        timer.async_wait([self = shared_from_this(), again](const asio::error_code &cancelled) {
            if (!cancelled && !self->stopped) {
                ((*self).*again)();
            }
        });
    }

    ObjectApi &api;
    PresenceOptions options;
    Events events;
    asio::steady_timer timer;
    std::minstd_rand random;
    std::uint64_t version = 0;
    std::chrono::steady_clock::time_point lastWrite{};
    int failures = 0;
    bool hasListed = false;
    bool stopped = false;
};

Presence::Presence(asio::io_context &context, ObjectApi &api, PresenceOptions options, Events events)
    : m_state(std::make_shared<State>(context, api, std::move(options), std::move(events)))
{
}

Presence::~Presence()
{
    m_state->stopped = true;
    m_state->timer.cancel();
}

void Presence::start()
{
    m_state->create();
}

void Presence::renew()
{
    if (m_state->hasListed
        && std::chrono::steady_clock::now() - m_state->lastWrite > m_state->options.longestRetry) {
        m_state->create();
    }
}

void Presence::remove(std::function<void()> done)
{
    m_state->stopped = true;
    m_state->timer.cancel();
    m_state->api.remove(m_state->ownObject(m_state->version),
                        [done = std::move(done)](const Answer<std::uint64_t> &) { done(); });
}

EntryRemoval::EntryRemoval(Presence &presence, std::function<bool()> hasLeft)
    : m_presence(presence)
    , m_hasLeft(std::move(hasLeft))
{
}

Result<void> EntryRemoval::start(Kernel &)
{
    return {};
}

void EntryRemoval::drain(std::function<void()> done)
{
    if (!m_hasLeft()) {
        done();
        return;
    }
    m_presence.remove(std::move(done));
}

void EntryRemoval::stop()
{
}

} // namespace oriolelever
