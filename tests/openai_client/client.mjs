// Uses the OpenAI client library as a caller would. Arguments: base URL, key, expected text of the
// first eight tokens for the prompt "beans" by the model "recipes". Exits with 0 if all is right.
import assert from 'node:assert/strict';
import OpenAI from 'openai';

const [baseURL, apiKey, expected] = process.argv.slice(2);
const client = new OpenAI({ baseURL, apiKey, maxRetries: 0 });
const prompt = { model: 'recipes', prompt: 'beans', max_tokens: 8 };
const chat = {
  model: 'recipes',
  max_tokens: 8,
  messages: [{ role: 'user', content: 'beans' }],
};

const models = await client.models.list();
assert.ok(models.data.some((model) => model.id === 'recipes'));

const whole = await client.completions.create(prompt);
assert.equal(whole.choices[0].text, expected);
assert.equal(whole.choices[0].finish_reason, 'length');

let streamed = '';
for await (const chunk of await client.completions.create({ ...prompt, stream: true })) {
  streamed += chunk.choices[0].text;
}
assert.equal(streamed, expected);

const answer = await client.chat.completions.create(chat);
assert.equal(answer.choices[0].message.role, 'assistant');
assert.equal(answer.choices[0].message.content, expected);

let chatText = '';
for await (const chunk of await client.chat.completions.create({ ...chat, stream: true })) {
  chatText += chunk.choices[0]?.delta?.content ?? '';
}
assert.equal(chatText, expected);

await assert.rejects(
  client.completions.create({ ...prompt, model: 'nothing' }),
  (error) => error instanceof OpenAI.NotFoundError && error.code === 'model_not_found',
);
await assert.rejects(
  new OpenAI({ baseURL, apiKey: 'wrong', maxRetries: 0 }).models.list(),
  OpenAI.AuthenticationError,
);
console.log('the client library got whole and streamed answers');
