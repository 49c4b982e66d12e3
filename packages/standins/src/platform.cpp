#include "carobhall/standins.h"

#include "json_text.h"

#include <algorithm>
#include <cmath>

namespace Carobhall::Standin
{

namespace
{

/// Token bucket size, as seconds of calls at the permitted rate.
constexpr double BurstSeconds = 0.1;
constexpr std::size_t MaxVmHistory = 256;

PlatformAnswer failure(int status, const char *code, const std::string &message)
{
    Json::Value body;
    body["error"]["code"] = code;
    body["error"]["message"] = message;
    return { .status = status, .body = body, .lost = false };
}

PlatformAnswer notFound()
{
    return failure(404, "not_found", "no such object");
}

/// The resourceVersion in the metadata of \p object, given as a number or as a string that holds one. nullopt when there is none.
std::optional<std::uint64_t> versionOf(const Json::Value &object)
{
    const Json::Value &version = object["metadata"]["resourceVersion"];
    if (version.isUInt64()) {
        return version.asUInt64();
    }
    return version.isString() ? parseNumber(version.asString()) : std::nullopt;
}

} // namespace

PlatformModel::PlatformModel(PlatformOptions options)
    : options_(options)
    , random_(options.seed)
{
    // The buckets start full, so that a burst is permitted right after the start.
    reads_.tokens = options.readsPerSecond * BurstSeconds;
    writes_.tokens = options.writesPerSecond * BurstSeconds;
}

PlatformOptions &PlatformModel::options()
{
    return options_;
}

const PlatformCounts &PlatformModel::counts() const
{
    return counts_;
}

bool PlatformModel::takeToken(Micros now, Bucket &bucket, double ratePerSecond)
{
    const double elapsedSeconds = static_cast<double>(now - bucket.at) / static_cast<double>(MicrosPerSecond);
    bucket.tokens = std::min(bucket.tokens + std::max(elapsedSeconds, 0.0) * ratePerSecond, std::max(ratePerSecond * BurstSeconds, 1.0));
    bucket.at = now;
    if (bucket.tokens < 1.0) {
        return false;
    }
    bucket.tokens -= 1.0;
    return true;
}

std::optional<PlatformAnswer> PlatformModel::admit(Micros now, bool write)
{
    if (options_.outage != Outage::None) {
        return failure(503, "unavailable", "the platform is unavailable");
    }
    if (!takeToken(now, write ? writes_ : reads_, write ? options_.writesPerSecond : options_.readsPerSecond)) {
        ++counts_.refused;
        return failure(429, "too_many_calls", "call rate limit exceeded");
    }
    ++(write ? counts_.writes : counts_.reads);
    return std::nullopt;
}

bool PlatformModel::drawAnswerLoss()
{
    if (options_.loseAnswers > 0) {
        --options_.loseAnswers;
        return true;
    }
    return std::uniform_real_distribution<double>(0.0, 1.0)(random_) < options_.loseAnswerShare;
}

PlatformAnswer PlatformModel::object(Micros now, std::string_view method, const std::string &kind, const std::string &name, std::string_view body,
                                     std::optional<std::uint64_t> condition)
{
    const bool reads = method == "GET";
    if (!reads && method != "PUT" && method != "POST" && method != "DELETE") {
        return failure(405, "method", "expected GET, PUT, POST or DELETE");
    }
    if (auto refusal = admit(now, !reads)) {
        return *refusal;
    }
    if (reads) {
        const auto objects = objects_.find(kind);
        if (objects == objects_.end() || !objects->second.contains(name)) {
            return notFound();
        }
        return { .status = 200, .body = objects->second.at(name), .lost = false };
    }
    PlatformAnswer answer = method == "DELETE" ? erase(kind, name, condition) : write(method, kind, name, body);
    answer.lost = drawAnswerLoss();
    return answer;
}

PlatformAnswer PlatformModel::write(std::string_view method, const std::string &kind, const std::string &name, std::string_view body)
{
    if (body.size() > options_.maxValueBytes) {
        return failure(413, "too_large", "the value exceeds the limit of " + std::to_string(options_.maxValueBytes) + " bytes");
    }
    const std::optional<Json::Value> parsed = parseJsonText(body);
    if (!parsed || !parsed->isObject() || !(*parsed)["metadata"].isObject() || !parsed->isMember("spec")) {
        return failure(400, "malformed", "expected {\"metadata\": {...}, \"spec\": ...}");
    }
    auto &objects = objects_[kind];
    const auto existing = objects.find(name);
    const std::optional<std::uint64_t> condition = versionOf(*parsed);
    if (method == "POST" && existing != objects.end()) {
        return failure(409, "already_exists", "the object already exists");
    }
    if (method == "PUT" && condition) {
        if (existing == objects.end()) {
            return notFound();
        }
        if (versionOf(existing->second) != condition) {
            return failure(409, "conflict", "the object has a different resourceVersion");
        }
    }
    const bool created = existing == objects.end();
    Json::Value object;
    object["metadata"]["name"] = name;
    object["metadata"]["uid"] = created ? toHex(drawIncarnation()) : existing->second["metadata"]["uid"].asString();
    object["metadata"]["resourceVersion"] = Json::UInt64{ ++version_ };
    object["spec"] = (*parsed)["spec"];
    objects[name] = object;
    record(created ? "ADDED" : "MODIFIED", kind, name, object);
    return { .status = created ? 201 : 200, .body = object, .lost = false };
}

PlatformAnswer PlatformModel::erase(const std::string &kind, const std::string &name, std::optional<std::uint64_t> condition)
{
    auto &objects = objects_[kind];
    const auto existing = objects.find(name);
    if (existing == objects.end()) {
        return notFound();
    }
    if (condition && versionOf(existing->second) != condition) {
        return failure(409, "conflict", "the object has a different resourceVersion");
    }
    Json::Value object = existing->second;
    object["metadata"]["resourceVersion"] = Json::UInt64{ ++version_ };
    objects.erase(existing);
    record("DELETED", kind, name, object);
    return { .status = 200, .body = object, .lost = false };
}

void PlatformModel::record(const char *type, const std::string &kind, const std::string &name, const Json::Value &object)
{
    Json::Value line;
    line["type"] = type;
    line["object"] = object;
    history_.push_back({ .version = version_, .kind = kind, .name = name, .line = line });
    while (history_.size() > options_.historySize) {
        compactedVersion_ = history_.front().version;
        history_.pop_front();
    }
}

PlatformAnswer PlatformModel::list(Micros now, const std::string &kind)
{
    if (auto refusal = admit(now, false)) {
        return *refusal;
    }
    Json::Value body;
    body["metadata"]["resourceVersion"] = Json::UInt64{ version_ };
    body["items"] = Json::Value(Json::arrayValue);
    for (const auto &[name, object] : objects_[kind]) {
        body["items"].append(object);
    }
    return { .status = 200, .body = body, .lost = false };
}

PlatformAnswer PlatformModel::openWatch(Micros now, std::uint64_t version)
{
    if (auto refusal = admit(now, false)) {
        return *refusal;
    }
    if (version < compactedVersion_ || version > version_) {
        return failure(410, "gone", "the changes after this version are not available");
    }
    return { .status = 200, .body = {}, .lost = false };
}

std::vector<PlatformChange> PlatformModel::changes(std::uint64_t version, const std::string &kind, const std::string &name) const
{
    std::vector<PlatformChange> result;
    for (const PlatformChange &change : history_) {
        if (change.version > version && change.kind == kind && (name.empty() || change.name == name)) {
            result.push_back(change);
        }
    }
    return result;
}

std::vector<PlatformChange> PlatformModel::current(const std::string &kind, const std::string &name) const
{
    std::vector<PlatformChange> result;
    const auto objects = objects_.find(kind);
    if (objects == objects_.end()) {
        return result;
    }
    for (const auto &[found, object] : objects->second) {
        if (name.empty() || found == name) {
            Json::Value line;
            line["type"] = "ADDED";
            line["object"] = object;
            result.push_back({ .version = version_, .kind = kind, .name = found, .line = line });
        }
    }
    return result;
}

std::uint64_t PlatformModel::version() const
{
    return version_;
}

void PlatformModel::setVms(Micros now, Json::Value vms)
{
    vms_.emplace_back(now, std::move(vms));
    if (vms_.size() > MaxVmHistory) {
        vms_.pop_front();
    }
}

PlatformAnswer PlatformModel::vms(Micros now)
{
    if (auto refusal = admit(now, false)) {
        return *refusal;
    }
    Json::Value body;
    body["items"] = Json::Value(Json::arrayValue);
    for (const auto &[at, vms] : vms_) {
        if (at <= now - options_.vmListLag) {
            body["items"] = vms;
        }
    }
    return { .status = 200, .body = body, .lost = false };
}

} // namespace Carobhall::Standin
