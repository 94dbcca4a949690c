#pragma once
// Names of the HTTP header fields that nodes, backends and the platform agree on.
namespace saddlewing::header_name {

// Of a request:
inline constexpr const char* try_id = "Try-Id";  // of the client's try; every answer repeats it
inline constexpr const char* time_left = "Time-Left";         // until the requester gives up
inline constexpr const char* target_server = "Meant-Server";  // id of the backend it is meant for
inline constexpr const char* ring_revision = "Ring-Mark";     // of the ring that it is routed by
// The virtual node on the move there: part of this answer, or not.
inline constexpr const char* ring_show = "Ring-Show";
inline constexpr const char* ring_hide = "Ring-Hide";
// The leader that orders a promotion, and the term under whose lease it decided.
inline constexpr const char* duty_owner = "Duty-Owner";
inline constexpr const char* owner_number = "Owner-Number";

// Of a response:
inline constexpr const char* server_id = "Server-Id";      // id of the backend that answers
inline constexpr const char* server_load = "Server-Load";  // running, waiting, ...
inline constexpr const char* not_run = "Not-Run";          // the request had no effect
inline constexpr const char* answer_checksum = "Answer-Seal";
inline constexpr const char* part_checksums = "Part-Seals";
inline constexpr const char* parts_missing = "Parts-Missing";

}  // namespace saddlewing::header_name
