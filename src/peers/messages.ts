import avsc from "avsc";

/** Messages between controllers and their encoding. The first frame of each connection is a hello message. */

/** Version of the protocol between controllers; peers with another version are refused. */
export const PROTOCOL_VERSION = 3;

/** First message on a connection; identifies the sender and its protocol version. */
export interface Hello {
  version: number;
  node: string;
}
/** A partition announces free capacity. */
export interface Volunteer {
  part: number;
  utilization: number;
}
/** Asks the owner of a partition to bid for a job. */
export interface BidRequest {
  id: number;
  part: number;
  job: string;
  from: string;
}
/** Bid of a partition: expected wait and run time in ms, its utilization, and how many tasks can run at once. */
export interface BidResponse {
  id: number;
  part: number;
  waitMs: number;
  runMs: number;
  utilization: number;
  atOnce: number;
}
/** A partition asks the others for more quota of a team: a larger share of the team's limit. */
export interface QuotaRequest {
  part: number;
  team: string;
  cpus: number;
  gpus: number;
  /** The part of the requested amounts for which the partition has free capacity now. */
  nowCpus: number;
  nowGpus: number;
}
/** A machine offering that waiting work needs and that the cloud has no more of. */
export interface OfferingSought {
  type: string;
  zone: string;
  spot: boolean;
}
/**
 * Whether a node reaches the state service, what share of its machines report to it (`hears`: `most`, `few` or `unsure`), and
 * what teams use in its partitions.
 */
export interface Health {
  stateOk: boolean;
  hears: string;
  use: { team: string; cpus: number; gpus: number }[];
}
/** A user's request forwarded to a peer; `body` is JSON text. */
export interface RelayRequest {
  id: number;
  kind: string;
  body: string;
}
/** Answer of a peer to a user's request that was forwarded to it; `body` is JSON text. */
export interface RelayResponse {
  id: number;
  status: number;
  body: string;
  retryAfterS: number;
}
/** Content of one frame: an object with one message under the name of its kind. */
export type Message =
  | { Hello: Hello }
  | { Volunteer: Volunteer }
  | { Query: BidRequest }
  | { Answer: BidResponse }
  | { Want: QuotaRequest }
  | { Health: Health }
  | { Sought: OfferingSought }
  | { Relay: RelayRequest }
  | { Relayed: RelayResponse };

const record = (name: string, fields: [string, string | object][]) => ({
  type: "record",
  name,
  fields: fields.map(([n, t]) => ({ name: n, type: t })),
});

const envelope = avsc.Type.forSchema(
  {
    type: "record",
    name: "Envelope",
    fields: [
      {
        name: "body",
        type: [
          record("Hello", [
            ["version", "int"],
            ["node", "string"],
          ]),
          record("Volunteer", [
            ["part", "int"],
            ["utilization", "double"],
          ]),
          record("Query", [
            ["id", "long"],
            ["part", "int"],
            ["job", "string"],
            ["from", "string"],
          ]),
          record("Answer", [
            ["id", "long"],
            ["part", "int"],
            ["waitMs", "double"],
            ["runMs", "double"],
            ["utilization", "double"],
            ["atOnce", "int"],
          ]),
          record("Want", [
            ["part", "int"],
            ["team", "string"],
            ["cpus", "double"],
            ["gpus", "double"],
            ["nowCpus", "double"],
            ["nowGpus", "double"],
          ]),
          record("Health", [
            ["stateOk", "boolean"],
            ["hears", "string"],
            [
              "use",
              {
                type: "array",
                items: record("TeamUse", [
                  ["team", "string"],
                  ["cpus", "double"],
                  ["gpus", "double"],
                ]),
              },
            ],
          ]),
          record("Sought", [
            ["type", "string"],
            ["zone", "string"],
            ["spot", "boolean"],
          ]),
          record("Relay", [
            ["id", "long"],
            ["kind", "string"],
            ["body", "string"],
          ]),
          record("Relayed", [
            ["id", "long"],
            ["status", "int"],
            ["body", "string"],
            ["retryAfterS", "int"],
          ]),
        ],
      },
    ],
  } as avsc.Schema,
  { wrapUnions: true },
);

/** Maximum size of a frame's body; larger frames are refused. */
export const MAX_FRAME_BYTES = 64 * 1024;

/** Encodes a message as a frame: the length of the body, then the body. */
export function encodeFrame(message: Message): Buffer {
  const body = envelope.toBuffer({ body: message });
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

/** Decodes a byte stream into messages; `push` throws if a frame is malformed or too large. */
export class FrameReader {
  private pending = Buffer.alloc(0);

  push(chunk: Buffer): Message[] {
    this.pending = this.pending.length === 0 ? Buffer.from(chunk) : Buffer.concat([this.pending, chunk]);
    const messages: Message[] = [];
    while (this.pending.length >= 4) {
      const size = this.pending.readUInt32BE(0);
      if (size > MAX_FRAME_BYTES) throw new Error(`frame of ${size} bytes`);
      if (this.pending.length < 4 + size) break;
      const decoded = envelope.fromBuffer(this.pending.subarray(4, 4 + size)) as { body: Message };
      messages.push(decoded.body);
      this.pending = this.pending.subarray(4 + size);
    }
    return messages;
  }
}
