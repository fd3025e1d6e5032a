import avsc from "avsc";

/** What controllers say to each other. The first frame each way is a hello. */
export const PROTOCOL_VERSION = 3;

export interface Hello {
  version: number;
  node: string;
}
export interface Volunteer {
  part: number;
  utilization: number;
}
export interface Query {
  id: number;
  part: number;
  job: string;
  from: string;
}
export interface Answer {
  id: number;
  part: number;
  waitMs: number;
  runMs: number;
  utilization: number;
  atOnce: number;
}
export interface Want {
  part: number;
  team: string;
  cpus: number;
  gpus: number;
  /** Of it, what there is room for at this moment. */
  nowCpus: number;
  nowGpus: number;
}
/** The cloud has no more of an offer that work waits for. */
export interface OfferingSought {
  type: string;
  zone: string;
  spot: boolean;
}
/** Whether a node reaches the state service, what it hears of its machines, and what teams use in its parts. */
export interface Health {
  stateOk: boolean;
  hears: string;
  use: { team: string; cpus: number; gpus: number }[];
}
/** A user's request passed on, its body as JSON text. */
export interface RelayRequest {
  id: number;
  kind: string;
  body: string;
}
export interface RelayResponse {
  id: number;
  status: number;
  body: string;
  retryAfterS: number;
}
export type Message =
  | { Hello: Hello }
  | { Volunteer: Volunteer }
  | { Query: Query }
  | { Answer: Answer }
  | { Want: Want }
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

export const MAX_FRAME_BYTES = 64 * 1024;

export function encodeFrame(message: Message): Buffer {
  const body = envelope.toBuffer({ body: message });
  const head = Buffer.alloc(4);
  head.writeUInt32BE(body.length);
  return Buffer.concat([head, body]);
}

/** Cuts a byte stream into messages; throws on anything malformed. */
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
