#pragma once

// A stand-in of a model server: requests, reports, cache events and orders, as the users' pages describe them.

#include "standins.h"

namespace Review
{

struct EngineOptions {
    std::string id;
    std::string service;
    std::string model;
    std::string ip;
    Store *store = nullptr;
    /// Whether \p version of the model was named.
    std::function<bool(std::uint64_t version)> isNamed;
    /// A request begins to run and uses a part of its prompt that an earlier one of the tenant \p maker has left in the memory.
    std::function<void(const HttpHead &head, const std::string &part, const std::string &maker)> onPartUsed{};
};

class Engine
{
public:
    explicit Engine(EngineOptions options)
        : options_(std::move(options))
    {
        address_ = options_.ip + ":0";
        serve(listenAt(address_), [this](int descriptor) { onConnection(descriptor); });
        list();
    }
    [[nodiscard]] const std::string &address() const
    {
        return address_;
    }
    [[nodiscard]] std::uint64_t version()
    {
        const std::lock_guard lock(mutex_);
        return version_;
    }

private:
    void list()
    {
        options_.store->put("servers", options_.id,
                            R"({"service":")" + options_.service + R"(","address":")" + address_
                                + R"(","zone":"bagmati-a","version":"v1","slots":96,"state":"ready","coldRemainingMs":0,"stage":"prefill_decode","models":)"
                                + models() + R"(,"sequence":1,"born":)" + std::to_string(born_) + "}");
    }
    std::string models()
    {
        return R"([{"name":")" + options_.model + R"(","version":)" + std::to_string(version_) + R"(,"adapters":[]}])";
    }
    static std::uint64_t number(const std::string &json, const std::string &name, std::uint64_t fallback)
    {
        const std::size_t at = json.find("\"" + name + "\":");
        return at == std::string::npos ? fallback : std::strtoull(json.c_str() + at + name.size() + 3, nullptr, 10);
    }
    std::string order(const HttpHead &head, const std::string &body)
    {
        const std::lock_guard lock(mutex_);
        const std::uint64_t version = number(body, "version", 0);
        int status = 202;
        const std::string instance = head.field("carobhall-expect-instance");
        if (!instance.empty() && instance != options_.id) {
            status = 421;
        } else if (body.find("\"" + options_.model + "\"") == std::string::npos || !options_.isNamed(version)) {
            status = 400;
        } else if (version == version_) {
            status = 200;
        } else if (busy_ || number(body, "expected", sequence_) != sequence_) {
            status = 409;
        }
        note("%s gets the order %s: %d", options_.id.c_str(), body.c_str(), status);
        if (status == 202) {
            ++sequence_;
            busy_ = true;
            std::thread([this, version] {
                sleepFor(0.38);
                {
                    const std::lock_guard inner(mutex_);
                    version_ = version;
                    busy_ = false;
                    parts_.clear();
                    note("%s has version %llu of %s", options_.id.c_str(), static_cast<unsigned long long>(version), options_.model.c_str());
                }
                list();
            }).detach();
        }
        return jsonAnswer(status, "{}", "Carobhall-Instance-Id: " + options_.id + "\r\n");
    }
    /// Uses the leading parts that are kept under the salt of the request, and keeps the others.
    void useParts(const HttpHead &head)
    {
        const std::lock_guard lock(mutex_);
        const std::string salt = head.field("carobhall-cache-salt");
        const std::string tenant = head.field("carobhall-tenant");
        std::istringstream entries(head.field("carobhall-prompt-prefix"));
        bool isLeading = true;
        for (std::string entry; std::getline(entries, entry, ',');) {
            const std::string part = entry.substr(0, entry.find(':'));
            const auto [kept, isNew] = parts_.try_emplace(salt + " " + part, tenant);
            isLeading = isLeading && !isNew;
            if (isLeading && options_.onPartUsed) {
                options_.onPartUsed(head, part, kept->second);
            }
            if (isNew) {
                events_.push_back("[" + std::to_string(events_.size() + 1) + R"(,"+",")" + salt + R"(",")" + part + R"(",)" + entry.substr(entry.find(':') + 1)
                                  + R"(,")" + options_.model + R"("])");
            }
        }
    }
    std::string run(const HttpHead &head)
    {
        const std::string id = head.field("carobhall-request-id");
        std::string fields = "Carobhall-Request-Id: " + id + "\r\n";
        {
            const std::lock_guard lock(mutex_);
            fields += "Carobhall-Weight-Versions: " + std::to_string(version_) + "\r\n";
            const std::string instance = head.field("carobhall-expect-instance");
            const std::string version = head.field("carobhall-expect-version");
            if ((!instance.empty() && instance != options_.id) || (!version.empty() && version != std::to_string(version_))) {
                return "HTTP/1.1 421 Misdirected Request\r\nCarobhall-Instance-Id: " + options_.id + "\r\n" + fields + "Content-Length: 0\r\n\r\n";
            }
            if (busy_) {
                return "HTTP/1.1 503 Service Unavailable\r\nCarobhall-Not-Executed: 1\r\n" + fields + "Content-Length: 0\r\n\r\n";
            }
        }
        useParts(head);
        sleepFor(0.03);
        std::string body;
        for (int i = 1; i <= 3; ++i) {
            body += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + " of " + id + "\n\n";
        }
        return "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCarobhall-Server-Seal: seal-" + id + "\r\n" + fields
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string answer(const HttpHead &head, const std::string &body)
    {
        const std::string path = head.path();
        if (path == "/-/report") {
            const std::lock_guard lock(mutex_);
            return jsonAnswer(200,
                              R"({"stage":"prefill_decode","models":)" + models() + R"(,"busy":)" + (busy_ ? "true" : "false") + R"(,"sequence":)"
                                  + std::to_string(sequence_) + R"(,"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0,"born":)"
                                  + std::to_string(born_) + "}");
        }
        if (path.starts_with("/-/kv-events")) {
            const std::size_t since = std::strtoull(path.c_str() + std::min(path.size(), path.find("since=") + 6), nullptr, 10);
            for (int i = 0; i < 16; ++i) {
                const std::unique_lock lock(mutex_);
                if (events_.size() > since) {
                    break;
                }
                mutex_.unlock();
                sleepFor(0.05);
                mutex_.lock();
            }
            const std::lock_guard lock(mutex_);
            std::string list;
            for (std::size_t i = since; i < events_.size(); ++i) {
                list += (list.empty() ? "" : ",") + events_[i];
            }
            return jsonAnswer(200, R"({"bootEpoch":1,"nextToken":)" + std::to_string(events_.size()) + R"(,"lost":false,"events":[)" + list + "]}");
        }
        if (path == "/-/order") {
            return order(head, body);
        }
        if (path == "/health") {
            return "HTTP/1.1 200 OK\r\nCarobhall-Instance-Id: " + options_.id + "\r\nContent-Length: 0\r\n\r\n";
        }
        return run(head);
    }
    void onConnection(int descriptor)
    {
        std::string buffer;
        HttpHead head;
        while (readHead(descriptor, buffer, head)) {
            std::string body;
            if (!readSized(descriptor, buffer, std::stoul("0" + head.field("content-length")), body) || !sendAll(descriptor, answer(head, body))) {
                break;
            }
        }
        close(descriptor);
    }

    EngineOptions options_;
    std::string address_;
    std::mutex mutex_;
    std::uint64_t version_ = 1;
    std::uint64_t sequence_ = 0;
    bool busy_ = false;
    std::int64_t born_ = unixMillis();
    std::map<std::string, std::string> parts_; ///< The tenant that made each part, by salt and part.
    std::vector<std::string> events_;
};

inline std::string engineServiceJson(const std::string &name, const std::string &model)
{
    return R"({"name":")" + name
        + R"(","healthPath":"/health","maxConnections":500,"protocol":"h1","tls":false,"engine":{"slots":96,"kvCapacityTokens":90000,"tokenKvBytes":262144,"linkMbps":550000.0,"maxConcurrent":12,"models":[{"name":")"
        + model + R"("}]}})";
}

/// Sends a prompt and returns the status of the answer; 0: the channel ended before it was complete.
inline int prompt(const std::string &gateway, const std::string &id, const std::string &path, const std::string &model, const std::string &parts,
                  const std::string &key)
{
    const int descriptor = connectTo(gateway);
    if (descriptor < 0) {
        return 0;
    }
    sendAll(descriptor,
            "POST " + path + " HTTP/1.1\r\nHost: desk.example\r\nCarobhall-Request-Id: " + id + "\r\nCarobhall-Model: " + model
                + "\r\nCarobhall-Token-Count: 900,20\r\nCarobhall-Prompt-Prefix: " + parts + "\r\nCarobhall-Deadline-Ms: 5000\r\nAuthorization: Bearer " + key
                + "\r\nContent-Length: 6\r\n\r\nprompt");
    std::string buffer;
    HttpHead head;
    if (!readHead(descriptor, buffer, head)) {
        close(descriptor);
        return 0;
    }
    // A stream comes in chunks; it is complete with the last one.
    bool isComplete = head.field("transfer-encoding").empty();
    char bytes[4096];
    while (!isComplete) {
        if (buffer.find("0\r\n\r\n") != std::string::npos) {
            isComplete = true;
            break;
        }
        const ssize_t count = recv(descriptor, bytes, sizeof(bytes), 0);
        if (count <= 0) {
            break;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    close(descriptor);
    return isComplete ? head.status() : 0;
}

} // namespace Review
